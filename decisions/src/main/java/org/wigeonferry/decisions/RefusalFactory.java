package org.wigeonferry.decisions;

import java.util.Optional;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.RefusalReason;

/**
 * Creates the results of admission rules that refuse an order.
 *
 * <p>Stateless and thread safe.
 */
final class RefusalFactory {
    private RefusalFactory() {}

    static Optional<Refusal> refuse(RefusalReason reason, String detail) {
        return Optional.of(Refusal.of(reason, detail));
    }
}
