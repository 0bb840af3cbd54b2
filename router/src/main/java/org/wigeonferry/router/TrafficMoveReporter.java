package org.wigeonferry.router;

import java.util.Optional;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.TrafficMove;

/**
 * Writes to the store that the traffic of a service starts to move to a roll-out's release.
 *
 * <p>Implementations are thread safe and never block; a write that fails is logged, and is tried
 * again at the next periodic check.
 */
@FunctionalInterface
public interface TrafficMoveReporter {
    /**
     * Writes the move, unless another router changed the stored one.
     *
     * @param known the stored move that this router knows; empty if there is none
     * @param startNanos start of the move, on the monotonic clock
     */
    void report(RollOut rollOut, Optional<TrafficMove> known, long startNanos);
}
