package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Limits the retries of a service's requests within a sliding window. Grants this router its share
 * of the budget of all routers.
 *
 * <p>Owned by the control thread.
 */
final class SlidingWindowRetryBudget {
    /** Fraction of the budget open to optional retries; the rest is kept for failures. */
    private static final double OPTIONAL_RETRY_FRACTION = 0.8;

    private final RoutingLimits limits;
    private final SlidingWindowCounter firstSends;
    private final SlidingWindowCounter retries;

    SlidingWindowRetryBudget(RoutingLimits limits) {
        this.limits = limits;
        Duration window = limits.retryWindow();
        firstSends = new SlidingWindowCounter(window);
        retries = new SlidingWindowCounter(window);
    }

    void onFirstSend(long nowNanos) {
        firstSends.add(nowNanos);
    }

    /** Whether optional retries, which only improve or speed up an answer, are allowed. */
    boolean hasSpareRetries(long nowNanos, int routers) {
        return retries.count(nowNanos) < OPTIONAL_RETRY_FRACTION * maxRetries(nowNanos, routers);
    }

    /** Takes one retry from the budget; false if the budget is used up. */
    boolean tryAcquireRetry(long nowNanos, int routers) {
        if (retries.count(nowNanos) + 1 > maxRetries(nowNanos, routers)) {
            return false;
        }
        retries.add(nowNanos);
        return true;
    }

    private double maxRetries(long nowNanos, int routers) {
        return limits.extraRetries() / routers + limits.retryRatio() * firstSends.count(nowNanos);
    }
}
