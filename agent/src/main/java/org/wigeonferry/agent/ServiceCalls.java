package org.wigeonferry.agent;

import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.wigeonferry.core_types.StartOrder;

/**
 * Calls a plain service, each call once.
 *
 * <p>Implementations are thread safe and never block the caller.
 */
interface ServiceCalls {
    /** Hands the call over; the operation is a method and a path. */
    CompletableFuture<ServiceResult> call(StartOrder order, byte[] body);

    /** Asks the service whether it finished a call; empty if it did not, or can't say. */
    CompletableFuture<Optional<ServiceResult>> lookUpResult(StartOrder order);

    /** Tells whether a failure shows that nothing was sent. */
    static boolean isConnectFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof ConnectException;
    }
}
