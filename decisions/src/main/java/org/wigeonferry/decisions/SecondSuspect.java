package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.SUSPECT_LIMIT;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses a second suspected request while one is in flight.
 *
 * <p>With one suspect at a time a further crash tells which request caused it, and no innocent one
 * is condemned with it.
 *
 * <p>Stateless and thread safe.
 */
public final class SecondSuspect {
    private SecondSuspect() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            boolean suspect = order.suspected() || view.isSuspected().test(order.requestDigest());
            if (!suspect || !view.suspectInFlight()) {
                return Optional.empty();
            }
            return refuse(SUSPECT_LIMIT, "another suspected request is in flight");
        };
    }
}
