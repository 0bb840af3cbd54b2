package org.wigeonferry.router;

import java.util.Optional;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutState;
import org.wigeonferry.routing.RollOutStatus;

/**
 * Writes the status of a roll-out to the store, on condition that the stored status is still the
 * one that this router knows.
 *
 * <p>Implementations are thread safe and never block; a write that fails is logged, and is tried
 * again at the next periodic check.
 */
@FunctionalInterface
public interface RollOutReporter {
    /**
     * Writes the status, unless another router changed the stored one.
     *
     * @param known the stored status that this router knows; empty if there is none
     */
    void report(RollOut rollOut, RollOutState state, Optional<RollOutStatus> known);
}
