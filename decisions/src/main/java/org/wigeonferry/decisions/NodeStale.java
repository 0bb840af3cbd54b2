package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.NODE_STALE;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order while the configuration may be out of date.
 *
 * <p>A process that was paused or cut off can't know what was accepted meanwhile.
 *
 * <p>Stateless and thread safe.
 */
public final class NodeStale {
    private NodeStale() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            if (view.configUpToDate()) {
                return Optional.empty();
            }
            return refuse(NODE_STALE, "configuration may be out of date");
        };
    }
}
