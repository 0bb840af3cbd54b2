package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Bounds the sends beyond the first of a service's requests, as this entry's part of the bound that
 * holds for all entries together.
 *
 * <p>Owned by the control thread.
 */
final class SlidingWindowRetryBudget {
    /** Part of the budget that is kept for failures. */
    private static final double ROOMY = 0.8;

    private final RoutingLimits limits;
    private final SlidingWindowCounter firsts;
    private final SlidingWindowCounter repeats;

    SlidingWindowRetryBudget(RoutingLimits limits) {
        this.limits = limits;
        Duration window = limits.retryWindow();
        firsts = new SlidingWindowCounter(window);
        repeats = new SlidingWindowCounter(window);
    }

    void onFirstSend(long now) {
        firsts.add(now);
    }

    /** Whether there is room for repeats that only better an answer. */
    boolean hasSpareRetries(long now, int entries) {
        return repeats.count(now) < ROOMY * limit(now, entries);
    }

    boolean tryAcquireRetry(long now, int entries) {
        if (repeats.count(now) + 1 > limit(now, entries)) {
            return false;
        }
        repeats.add(now);
        return true;
    }

    private double limit(long now, int entries) {
        return limits.extraRetries() / entries + limits.retryRatio() * firsts.count(now);
    }
}
