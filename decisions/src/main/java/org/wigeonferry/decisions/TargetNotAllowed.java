package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.NOT_ALLOWED;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;
import org.wigeonferry.core_types.ClientAccount;

/**
 * Refuses a version or service that the client account is not allowed to use.
 *
 * <p>The entry checks the same; the agent checks again by its own configuration, which may be
 * newer. An unknown account is allowed nothing.
 *
 * <p>Stateless and thread safe.
 */
public final class TargetNotAllowed {
    private TargetNotAllowed() {}

    /** Returns the rule that refuses a target that the order's account may not use. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            Optional<ClientAccount> account = state.catalog().account(order.account());
            boolean allowed =
                    account.isPresent()
                            && order.version().map(account.get().versions()::contains).orElse(true)
                            && order.service().map(account.get().services()::contains).orElse(true);
            if (allowed) {
                return Optional.empty();
            }
            return refuse(
                    NOT_ALLOWED,
                    "account "
                            + order.account()
                            + " is not allowed to use the requested version or service");
        };
    }
}
