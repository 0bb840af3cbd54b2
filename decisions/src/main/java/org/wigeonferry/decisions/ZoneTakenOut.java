package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.ZONE_OUT;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses every order while the availability zone is taken out.
 *
 * <p>Attempts in flight go on to their end.
 *
 * <p>Stateless and thread safe.
 */
public final class ZoneTakenOut {
    private ZoneTakenOut() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            boolean out =
                    view.upstream()
                            .filter(
                                    upstream ->
                                            view.catalog()
                                                    .disabledZones()
                                                    .contains(upstream.zone()))
                            .isPresent();
            if (!out) {
                return Optional.empty();
            }
            return refuse(ZONE_OUT, "availability zone is taken out");
        };
    }
}
