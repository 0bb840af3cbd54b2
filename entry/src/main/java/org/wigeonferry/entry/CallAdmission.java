package org.wigeonferry.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;
import org.wigeonferry.node_runtime.ApiError;

/**
 * Counts requests in, or says why they are not run.
 *
 * <p>Thread safe; decides on the control thread.
 */
final class CallAdmission {
    private CallAdmission() {}

    /** Counts the request in and goes on, on the control thread; or tells the error. */
    static void admit(Call call, EntryRuntime runtime, Runnable goOn, Consumer<ApiError> refuse) {
        CompletableFuture<Optional<Refusal>> decided =
                runtime.control()
                        .submit(
                                () -> {
                                    Optional<Refusal> refusal = check(call, runtime.state());
                                    if (refusal.isEmpty()) {
                                        goOn.run();
                                    }
                                    return refusal;
                                });
        decided.whenComplete(
                (refusal, failure) -> {
                    if (failure != null) {
                        refuse.accept(
                                ApiErrors.ofRefusal(
                                        Refusal.of(RefusalReason.NO_CAPACITY, failure.toString())));
                        return;
                    }
                    refusal.map(ApiErrors::ofRefusal).ifPresent(refuse);
                });
    }

    private static Optional<Refusal> check(Call call, EntryState state) {
        if (state.isStopping()) {
            return Optional.of(Refusal.of(RefusalReason.SHUTTING_DOWN, "entry is stopping"));
        }
        boolean condemned =
                state.controlState().suspects().isPoison(call.requestDigest(), System.nanoTime());
        if (condemned) {
            return Optional.of(Refusal.of(RefusalReason.POISON, "request crashed upstreams"));
        }
        if (!state.accountLimiter().tryAcquire(call.account())) {
            return Optional.of(
                    Refusal.of(RefusalReason.ACCOUNT_LIMIT, "account has too many in flight"));
        }
        return Optional.empty();
    }
}
