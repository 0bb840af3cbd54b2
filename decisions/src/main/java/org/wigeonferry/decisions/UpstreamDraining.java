package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.UPSTREAM_LEAVING;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order while the upstream is draining, that is takes no new work.
 *
 * <p>The upstream is draining as soon as the configuration, the platform or the upstream itself
 * reports it.
 *
 * <p>Stateless and thread safe.
 */
public final class UpstreamDraining {
    private UpstreamDraining() {}

    /** Returns the rule that refuses every order while the upstream is draining. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            boolean draining =
                    state.hostDraining()
                            || state.upstream().filter(upstream -> upstream.draining()).isPresent();
            if (!draining) {
                return Optional.empty();
            }
            return refuse(UPSTREAM_LEAVING, "upstream is draining");
        };
    }
}
