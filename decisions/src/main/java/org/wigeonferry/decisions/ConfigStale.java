package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.NODE_STALE;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order while the configuration of the agent's process may be out of date.
 *
 * <p>A process that was paused or cut off from the network can't know which revisions were accepted
 * in the meantime.
 *
 * <p>Stateless and thread safe.
 */
public final class ConfigStale {
    private ConfigStale() {}

    /** Returns the rule that refuses every order while the configuration may be out of date. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (state.configUpToDate()) {
                return Optional.empty();
            }
            return refuse(NODE_STALE, "configuration of the agent may be out of date");
        };
    }
}
