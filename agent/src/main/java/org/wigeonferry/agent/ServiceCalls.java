package org.wigeonferry.agent;

import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.wigeonferry.core_types.StartOrder;

/**
 * Calls a non-model service.
 *
 * <p>Implementations are thread safe and never block the caller.
 */
interface ServiceCalls {
    /**
     * Sends the order's call with this body, without retries. If it fails, the call may have run,
     * except after a {@linkplain #isConnectFailure connect failure}.
     */
    CompletableFuture<ServiceResult> call(StartOrder order, byte[] body);

    /** Asks the service for the result of a call; empty if it has none or does not answer. */
    CompletableFuture<Optional<ServiceResult>> lookUpResult(StartOrder order);

    /** Tells whether a call failed before anything was sent, so that the service did not run it. */
    static boolean isConnectFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException;
    }
}
