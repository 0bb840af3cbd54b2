package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.UPSTREAM_LEAVING;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order when the upstream is leaving.
 *
 * <p>The configuration, the platform's list and the upstream's own signal count alike: whichever
 * comes first.
 *
 * <p>Stateless and thread safe.
 */
public final class UpstreamLeaving {
    private UpstreamLeaving() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            boolean leaving =
                    view.hostDraining()
                            || view.upstream().filter(upstream -> upstream.draining()).isPresent();
            if (!leaving) {
                return Optional.empty();
            }
            return refuse(UPSTREAM_LEAVING, "upstream is leaving");
        };
    }
}
