package org.wigeonferry.router;

/**
 * Sends a request to an upstream, once.
 *
 * <p>Implementations are thread safe and never block.
 */
@FunctionalInterface
public interface UpstreamSender {
    /** Sends; the result closes the connection and so cancels the upstream's work. */
    Runnable send(UpstreamRequest order, SendListener listener);
}
