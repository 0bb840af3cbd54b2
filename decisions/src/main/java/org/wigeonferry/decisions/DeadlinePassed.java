package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.DEADLINE_PASSED;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses an order whose caller no longer waits.
 *
 * <p>Work past its deadline takes room from work that can still be used.
 *
 * <p>Stateless and thread safe.
 */
public final class DeadlinePassed {
    private DeadlinePassed() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            if (!order.timeLeft().isNegative() && !order.timeLeft().isZero()) {
                return Optional.empty();
            }
            return refuse(DEADLINE_PASSED, "deadline passed");
        };
    }
}
