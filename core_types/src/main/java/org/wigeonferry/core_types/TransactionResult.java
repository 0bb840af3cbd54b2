package org.wigeonferry.core_types;

import java.util.List;

/**
 * What is known of a transaction.
 *
 * <p>Immutable and thread safe.
 *
 * @param outcome whether it took effect
 * @param failedKeys keys whose condition did not hold
 */
public record TransactionResult(TransactionOutcome outcome, List<String> failedKeys) {
    public TransactionResult {
        failedKeys = List.copyOf(failedKeys);
    }

    /** No answer came. */
    public static final TransactionResult UNKNOWN =
            new TransactionResult(TransactionOutcome.UNKNOWN, List.of());
}
