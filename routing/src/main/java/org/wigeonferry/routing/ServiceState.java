package org.wigeonferry.routing;

/**
 * How this entry's sends to one service go.
 *
 * <p>Owned by the control thread.
 */
final class ServiceState {
    /** Slowness up to which answers in doubt are bettered, by rank. */
    private static final double[] BUSIEST = {7, 4.5, 3};

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
     * Whether an answer in doubt may be dropped: the busier the service, the more urgent it has to
     * be.
     */
    boolean mayRetryLowConfidence(int rank, long now, int entries) {
        double busiest = BUSIEST[Math.min(rank, BUSIEST.length - 1)];
        return slowness.meanRatio(now) < busiest && retryBudget.hasSpareRetries(now, entries);
    }
}
