package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.SHUTTING_DOWN;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order after a planned stop began.
 *
 * <p>Attempts in flight go on to their end.
 *
 * <p>Stateless and thread safe.
 */
public final class ProcessStopping {
    private ProcessStopping() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            if (!view.stopping()) {
                return Optional.empty();
            }
            return refuse(SHUTTING_DOWN, "agent is stopping");
        };
    }
}
