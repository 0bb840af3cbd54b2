package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.COLD_START_LIMIT;
import static org.wigeonferry.core_types.RefusalReason.CONCURRENCY_LIMIT;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses an order beyond what the upstream bears now.
 *
 * <p>The limit is the cold-start ramp's: one after a loss of the engine, rising on good answers to
 * the configured maximum.
 *
 * <p>Stateless and thread safe.
 */
public final class LimitReached {
    private LimitReached() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            if (view.inFlight() < view.concurrencyLimit()) {
                return Optional.empty();
            }
            boolean cold =
                    view.upstream()
                            .filter(
                                    upstream ->
                                            view.concurrencyLimit()
                                                    < upstream.maxConcurrentAttempts())
                            .isPresent();
            return refuse(
                    cold ? COLD_START_LIMIT : CONCURRENCY_LIMIT,
                    "limit of " + view.concurrencyLimit() + " reached");
        };
    }
}
