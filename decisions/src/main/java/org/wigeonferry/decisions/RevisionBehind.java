package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.REVISION_BEHIND;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses an order that was chosen by a newer configuration than this agent has.
 *
 * <p>The agent catches up from the sender before it decides; a rule that looked at the older
 * configuration could admit what the newer one forbids.
 *
 * <p>Stateless and thread safe.
 */
public final class RevisionBehind {
    private RevisionBehind() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            if (!view.catalog().revision().isBefore(order.revision())) {
                return Optional.empty();
            }
            return refuse(
                    REVISION_BEHIND,
                    "agent has revision "
                            + view.catalog().revision().number()
                            + ", order has "
                            + order.revision().number());
        };
    }
}
