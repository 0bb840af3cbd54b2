package org.wigeonferry.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.node_runtime.ApiError;

/**
 * Admits requests and counts them as in flight, or refuses them with a reason.
 *
 * <p>Thread safe; decides on the control thread.
 */
final class CallAdmission {
    private CallAdmission() {}

    /**
     * Admits the request and runs {@code onAdmitted} on the control thread, or passes the error to
     * {@code onRefused}.
     */
    static void admit(
            Call call, EntryRuntime runtime, Runnable onAdmitted, Consumer<ApiError> onRefused) {
        CompletableFuture<Optional<Refusal>> decision =
                runtime.control()
                        .submit(
                                () -> {
                                    Optional<Refusal> refusal = tryAdmit(call, runtime.state());
                                    if (refusal.isEmpty()) {
                                        onAdmitted.run();
                                    }
                                    return refusal;
                                });
        decision.whenComplete(
                (refusal, failure) -> {
                    if (failure != null) {
                        onRefused.accept(
                                ApiErrors.ofRefusal(
                                        Refusal.of(RefusalReason.NO_CAPACITY, failure.toString())));
                        return;
                    }
                    refusal.map(ApiErrors::ofRefusal).ifPresent(onRefused);
                });
    }

    private static Optional<Refusal> tryAdmit(Call call, EntryState state) {
        if (state.isStopping()) {
            return Optional.of(Refusal.of(RefusalReason.SHUTTING_DOWN, "entry is stopping"));
        }
        boolean poison =
                state.controlState().suspects().isPoison(call.requestDigest(), System.nanoTime());
        if (poison) {
            return Optional.of(Refusal.of(RefusalReason.POISON, "request crashed upstreams"));
        }
        if (!state.accountLimiter().tryAcquire(call.account())) {
            return Optional.of(
                    Refusal.of(RefusalReason.ACCOUNT_LIMIT, "account has too many in flight"));
        }
        return Optional.empty();
    }
}
