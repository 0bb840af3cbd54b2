package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Limits the retries of a service's requests within a sliding window. Grants this router its share
 * of the budget that all routers share.
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

    /** First sends within the window. */
    int firstSends(long nowNanos) {
        return firstSends.count(nowNanos);
    }

    /** Whether optional retries, which only improve or speed up an answer, are allowed. */
    boolean hasSpareRetries(long nowNanos, int routerCount) {
        return retries.count(nowNanos)
                < OPTIONAL_RETRY_FRACTION * maxRetries(nowNanos, routerCount);
    }

    /** Takes one retry from the budget; false if the budget is used up. */
    boolean tryAcquireRetry(long nowNanos, int routerCount) {
        if (retries.count(nowNanos) + 1 > maxRetries(nowNanos, routerCount)) {
            return false;
        }
        retries.add(nowNanos);
        return true;
    }

    private double maxRetries(long nowNanos, int routerCount) {
        return limits.extraRetries() / routerCount
                + limits.retryRatio() * firstSends.count(nowNanos);
    }
}
