package org.wigeonferry.router;

import java.time.Duration;
import java.util.Set;
import org.wigeonferry.routing.Freshness;
import org.wigeonferry.routing.LiveRouters;
import org.wigeonferry.routing.ModelCascade;
import org.wigeonferry.routing.RoutingLimits;
import org.wigeonferry.routing.RoutingState;

/** Routing states that the tests of the router share. */
final class RoutingStates {
    /** How long upstreams are kept whose rows are gone after an outage of the store. */
    static final Duration REMOVAL_DELAY = Duration.ofSeconds(2);

    private RoutingStates() {}

    /** A router of the zone {@code zone}, without configuration and upstreams. */
    static RoutingState empty() {
        return withHedging(0);
    }

    /**
     * The same with hedged sends, and answers of small models that need a confidence of 50.
     *
     * @param hedgedSendShare hedged sends allowed for each first send
     */
    static RoutingState withHedging(double hedgedSendShare) {
        return new RoutingState(
                "zone",
                new RoutingLimits(
                        1,
                        50,
                        Duration.ofSeconds(10),
                        1,
                        0,
                        0.1,
                        24,
                        hedgedSendShare,
                        Duration.ofSeconds(5),
                        REMOVAL_DELAY),
                new Freshness(Duration.ofMinutes(5), Duration.ofSeconds(5)),
                new ModelCascade(hedgedSendShare > 0 ? 50 : 0),
                () -> 0.5,
                new LiveRouters("router", Set.of(), 1));
    }
}
