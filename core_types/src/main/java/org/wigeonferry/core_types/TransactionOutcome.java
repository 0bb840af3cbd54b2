package org.wigeonferry.core_types;

/**
 * What is known of a conditional write to the platform's table service.
 *
 * <p>Immutable and thread safe.
 */
public enum TransactionOutcome {
    /** The write took effect. */
    APPLIED,
    /** A condition did not hold; nothing was written. */
    REFUSED,
    /** No answer came; the write may take effect now or later. */
    UNKNOWN
}
