package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.ZONE_OUT;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order while operators have disabled the upstream's availability zone.
 *
 * <p>Attempts in flight continue to their end.
 *
 * <p>Stateless and thread safe.
 */
public final class ZoneDisabled {
    private ZoneDisabled() {}

    /** Returns the rule that refuses every order while the upstream's zone is disabled. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            boolean disabled =
                    state.upstream()
                            .filter(
                                    upstream ->
                                            state.catalog()
                                                    .disabledZones()
                                                    .contains(upstream.zone()))
                            .isPresent();
            if (!disabled) {
                return Optional.empty();
            }
            return refuse(ZONE_OUT, "availability zone is disabled");
        };
    }
}
