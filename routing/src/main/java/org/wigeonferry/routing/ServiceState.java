package org.wigeonferry.routing;

/**
 * How this entry's sends to one service go.
 *
 * <p>Owned by the control thread.
 */
final class ServiceState {
    /** Slowness up to which answers in doubt are bettered, by rank. */
    private static final double[] BUSIEST = {7, 4.5, 3};

    private final RetryBudget budget;
    private final Slowness slowness = new Slowness();

    ServiceState(RoutingLimits limits) {
        budget = new RetryBudget(limits);
    }

    RetryBudget budget() {
        return budget;
    }

    Slowness slowness() {
        return slowness;
    }

    /**
     * Whether an answer in doubt may be dropped: the busier the service, the more urgent it has to
     * be.
     */
    boolean mayBetter(int rank, long now, int entries) {
        double busiest = BUSIEST[Math.min(rank, BUSIEST.length - 1)];
        return slowness.mean(now) < busiest && budget.roomy(now, entries);
    }
}
