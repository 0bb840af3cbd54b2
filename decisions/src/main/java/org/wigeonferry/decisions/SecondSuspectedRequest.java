package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.SUSPECT_LIMIT;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses a request suspected of crashing upstreams while another suspected one is in flight.
 *
 * <p>A request is suspected if it was in flight at a crash. With at most one suspected request in
 * flight, the next crash shows which request caused it, so no harmless request is marked as poison
 * along with it.
 *
 * <p>Stateless and thread safe.
 */
public final class SecondSuspectedRequest {
    private SecondSuspectedRequest() {}

    /** Returns the rule that refuses a suspected request while another one is in flight. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            boolean suspected =
                    order.suspected() || state.isSuspected().test(order.requestDigest());
            if (!suspected || !state.suspectedRequestInFlight()) {
                return Optional.empty();
            }
            return refuse(
                    SUSPECT_LIMIT, "another request suspected of crashing upstreams is in flight");
        };
    }
}
