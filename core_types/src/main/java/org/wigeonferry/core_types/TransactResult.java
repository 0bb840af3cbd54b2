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
public record TransactResult(WriteOutcome outcome, List<String> failedKeys) {
    public TransactResult {
        failedKeys = List.copyOf(failedKeys);
    }

    /** No answer came. */
    public static final TransactResult UNKNOWN =
            new TransactResult(WriteOutcome.UNKNOWN, List.of());
}
