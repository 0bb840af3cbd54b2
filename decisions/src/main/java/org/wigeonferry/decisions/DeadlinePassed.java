package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.DEADLINE_PASSED;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses an order whose deadline has passed.
 *
 * <p>The caller no longer waits for the answer, so running it would waste the upstream's capacity.
 *
 * <p>Stateless and thread safe.
 */
public final class DeadlinePassed {
    private DeadlinePassed() {}

    /** Returns the rule that refuses an order with no time left. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (!order.timeLeft().isNegative() && !order.timeLeft().isZero()) {
                return Optional.empty();
            }
            return refuse(DEADLINE_PASSED, "deadline of the order has passed");
        };
    }
}
