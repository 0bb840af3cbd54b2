package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.SHUTTING_DOWN;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order once a planned stop of the agent has begun.
 *
 * <p>Attempts in flight continue to their end.
 *
 * <p>Stateless and thread safe.
 */
public final class ProcessStopping {
    private ProcessStopping() {}

    /** Returns the rule that refuses every order while the agent is stopping. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (!state.stopping()) {
                return Optional.empty();
            }
            return refuse(SHUTTING_DOWN, "agent is stopping");
        };
    }
}
