package org.wigeonferry.router;

import java.util.Optional;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutState;
import org.wigeonferry.routing.RollOutStatus;

/**
 * Writes the state of a roll-out on condition that nobody wrote one since.
 *
 * <p>Implementations are thread safe and never block; a write that fails is logged and is tried
 * again at the next look.
 */
@FunctionalInterface
public interface RollOutReporter {
    /**
     * Writes a state.
     *
     * @param known the status row that this entry knows; empty if there is none
     */
    void report(RollOut order, RollOutState state, Optional<RollOutStatus> known);
}
