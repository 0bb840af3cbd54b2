package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.HostAddress;

/**
 * Carries a message to another process of this system and its reply back.
 *
 * <p>Implementations are thread safe, send once and never block the caller.
 */
@FunctionalInterface
public interface PeerTransport {
    /** Sends a body; the future fails without a whole reply in time. */
    CompletableFuture<byte[]> call(HostAddress peer, String path, byte[] body, Duration timeout);
}
