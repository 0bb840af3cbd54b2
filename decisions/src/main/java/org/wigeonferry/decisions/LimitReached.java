package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.COLD_START_LIMIT;
import static org.wigeonferry.core_types.RefusalReason.CONCURRENCY_LIMIT;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses an order if the upstream has its current limit of attempts in flight.
 *
 * <p>The limit comes from {@link ColdStartRamp}: one after a crash of the engine, and rising with
 * good first tokens to the configured maximum. A limit below that maximum is reported as a cold
 * start, also if a slow first token or a lack of good first tokens lowered it.
 *
 * <p>Stateless and thread safe.
 */
public final class LimitReached {
    private LimitReached() {}

    /** Returns the rule that refuses an order while the limit is reached. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (state.attemptsInFlight() < state.concurrencyLimit()) {
                return Optional.empty();
            }
            boolean belowMaximum =
                    state.upstream()
                            .filter(
                                    upstream ->
                                            state.concurrencyLimit()
                                                    < upstream.maxConcurrentAttempts())
                            .isPresent();
            return refuse(
                    belowMaximum ? COLD_START_LIMIT : CONCURRENCY_LIMIT,
                    "concurrency limit of " + state.concurrencyLimit() + " reached");
        };
    }
}
