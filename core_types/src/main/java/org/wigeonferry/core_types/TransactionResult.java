package org.wigeonferry.core_types;

import java.util.List;

/**
 * Result of a {@link TableTransaction}.
 *
 * <p>Immutable and thread safe.
 *
 * @param outcome whether the transaction took effect
 * @param failedKeys keys of the rows whose condition did not hold; empty unless it was refused
 */
public record TransactionResult(TransactionOutcome outcome, List<String> failedKeys) {
    public TransactionResult {
        failedKeys = List.copyOf(failedKeys);
    }

    /** Result if the table service did not answer. */
    public static final TransactionResult UNANSWERED =
            new TransactionResult(TransactionOutcome.UNKNOWN, List.of());
}
