package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Bounds the sends beyond the first of a service's requests, as this entry's part of the bound that
 * holds for all entries together.
 *
 * <p>Owned by the control thread.
 */
final class RetryBudget {
    private final RoutingLimits limits;
    private final SlidingCount firsts;
    private final SlidingCount repeats;

    RetryBudget(RoutingLimits limits) {
        this.limits = limits;
        Duration window = limits.retryWindow();
        firsts = new SlidingCount(window);
        repeats = new SlidingCount(window);
    }

    void onFirst(long now) {
        firsts.add(now);
    }

    boolean tryRepeat(long now, int entries) {
        double own = limits.retryExtra() / entries + limits.retryRatio() * firsts.count(now);
        if (repeats.count(now) + 1 > own) {
            return false;
        }
        repeats.add(now);
        return true;
    }
}
