package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.NOT_SERVED;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses a version or service that the configuration does not assign to this upstream.
 *
 * <p>Catches orders that were sent before the assignment changed. An upstream that the
 * configuration doesn't list serves nothing.
 *
 * <p>Stateless and thread safe.
 */
public final class TargetNotServed {
    private TargetNotServed() {}

    /** Returns the rule that refuses a target that the upstream does not serve. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            boolean served =
                    state.upstream()
                            .filter(
                                    upstream ->
                                            order.version()
                                                    .map(upstream.versions()::contains)
                                                    .orElse(true))
                            .filter(
                                    upstream ->
                                            order.service()
                                                    .map(upstream.services()::contains)
                                                    .orElse(true))
                            .isPresent();
            if (served) {
                return Optional.empty();
            }
            return refuse(NOT_SERVED, "upstream does not serve the requested version or service");
        };
    }
}
