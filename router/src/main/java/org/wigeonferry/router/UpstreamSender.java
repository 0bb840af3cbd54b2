package org.wigeonferry.router;

/**
 * Sends a request to an upstream once, without retries.
 *
 * <p>Implementations are thread safe and never block.
 */
@FunctionalInterface
public interface UpstreamSender {
    /** Sends the request; returns an action that cancels it by closing the connection. */
    Runnable send(UpstreamRequest request, SendListener listener);
}
