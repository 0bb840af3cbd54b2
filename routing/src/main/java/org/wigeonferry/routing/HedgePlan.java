package org.wigeonferry.routing;

import java.util.Optional;
import org.wigeonferry.routing.hedging.HedgeDecision;
import org.wigeonferry.routing.hedging.NoHedge;
import org.wigeonferry.routing.hedging.NoHedgeCause;

/**
 * Result of {@link RoutingState#planHedgedSend}.
 *
 * <p>Invariant: the send is present only if the decision is to send now. Immutable and thread safe.
 */
public record HedgePlan(HedgeDecision decision, Optional<Send> send) {
    static HedgePlan refused(NoHedgeCause cause) {
        return new HedgePlan(new NoHedge(cause), Optional.empty());
    }
}
