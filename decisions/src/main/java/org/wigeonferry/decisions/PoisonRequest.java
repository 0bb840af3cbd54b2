package org.wigeonferry.decisions;

import static org.wigeonferry.core_types.RefusalReason.POISON;
import static org.wigeonferry.decisions.RefusalFactory.refuse;

import java.util.Optional;
import org.wigeonferry.core_types.AdmissionRule;

/**
 * Refuses a request that crashed upstreams.
 *
 * <p>The digest is the same when the caller sends the request again through another entry.
 *
 * <p>Stateless and thread safe.
 */
public final class PoisonRequest {
    private PoisonRequest() {}

    /** The rule. */
    public static AdmissionRule rule() {
        return (order, view) -> {
            if (!view.isPoison().test(order.requestDigest())) {
                return Optional.empty();
            }
            return refuse(POISON, "request crashed upstreams");
        };
    }
}
