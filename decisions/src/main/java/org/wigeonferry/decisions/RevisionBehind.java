package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.REVISION_BEHIND;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses an order whose sender chose the upstream by a newer configuration than this agent has.
 *
 * <p>The older configuration could admit what the newer one forbids. On this refusal the agent
 * fetches the newer configuration from the sender and checks the order again.
 *
 * <p>Stateless and thread safe.
 */
public final class RevisionBehind {
    private RevisionBehind() {}

    /** Returns the rule that refuses an order with a newer revision than the agent's. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (!state.catalog().revision().isBefore(order.revision())) {
                return Optional.empty();
            }
            return refuse(
                    REVISION_BEHIND,
                    "agent has configuration revision "
                            + state.catalog().revision().number()
                            + ", order requires revision "
                            + order.revision().number());
        };
    }
}
