package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.HostAddress;

/**
 * Sends a message to another process of this system and returns its reply.
 *
 * <p>Implementations are thread safe, send once and never block the caller.
 */
@FunctionalInterface
public interface PeerTransport {
    /** Sends a body; the future fails if the complete reply has not arrived within the timeout. */
    CompletableFuture<byte[]> call(HostAddress peer, String path, byte[] body, Duration timeout);
}
