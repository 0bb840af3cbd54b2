package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.POISON;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses a poison request, that is one known to crash upstreams.
 *
 * <p>Requests are compared by their digest, which is the same when the caller sends the request
 * again through another entry, so a retry is refused too.
 *
 * <p>Stateless and thread safe.
 */
public final class PoisonRequest {
    private PoisonRequest() {}

    /** Returns the rule that refuses a request that is known to crash upstreams. */
    public static AdmissionRule rule() {
        return (order, state) -> {
            if (!state.isPoison().test(order.requestDigest())) {
                return Optional.empty();
            }
            return refuse(POISON, "request is known to crash upstreams");
        };
    }
}
