package org.wigeonferry.routing;

/**
 * Retry budget and recent latency of one service, as seen by this router.
 *
 * <p>Owned by the control thread.
 */
final class ServiceState {
    /**
     * Value of {@link Slowness#meanRatio} from which answers of low confidence are delivered.
     *
     * <p>Indexed by rank; the last value holds for all further ranks.
     */
    private static final double[] MAX_SLOWNESS_BY_RANK = {7, 4.5, 3};

    private final SlidingWindowRetryBudget retryBudget;
    private final Slowness slowness = new Slowness();

    ServiceState(RoutingLimits limits) {
        retryBudget = new SlidingWindowRetryBudget(limits);
    }

    SlidingWindowRetryBudget retryBudget() {
        return retryBudget;
    }

    Slowness slowness() {
        return slowness;
    }

    /**
     * Whether an answer of low confidence may be dropped and the request sent to a larger model.
     *
     * <p>The slower the service is, the more urgent a request has to be for that.
     */
    boolean mayRetryLowConfidence(int rank, long nowNanos, int routerCount) {
        double maxSlowness = MAX_SLOWNESS_BY_RANK[Math.min(rank, MAX_SLOWNESS_BY_RANK.length - 1)];
        return slowness.meanRatio(nowNanos) < maxSlowness
                && retryBudget.hasSpareRetries(nowNanos, routerCount);
    }
}
