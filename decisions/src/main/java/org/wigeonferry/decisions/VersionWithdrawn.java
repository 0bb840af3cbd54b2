package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.VERSION_WITHDRAWN;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses a model version that was withdrawn.
 *
 * <p>A version that the configuration does not list counts as withdrawn.
 *
 * <p>Stateless and thread safe.
 */
public final class VersionWithdrawn {
    private VersionWithdrawn() {}

    /** Returns the rule that refuses an order for a withdrawn or unlisted version. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (order.version().isEmpty()) {
                return Optional.empty();
            }
            boolean active =
                    order.version()
                            .flatMap(state.catalog()::version)
                            .filter(version -> !version.withdrawn())
                            .isPresent();
            if (active) {
                return Optional.empty();
            }
            return refuse(
                    VERSION_WITHDRAWN,
                    "version " + order.version().get() + " is withdrawn or not configured");
        };
    }
}
