package org.wigeonferry.core_types;

/**
 * Whether a transaction on the platform's table service took effect.
 *
 * <p>Immutable and thread safe.
 */
public enum TransactionOutcome {
    /** All rows were written. */
    APPLIED,
    /** A condition did not hold; nothing was written. */
    REFUSED,
    /** The service did not answer; the rows may have been written, or may yet be written. */
    UNKNOWN
}
