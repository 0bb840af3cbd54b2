package org.wigeonferry.decisions;

/**
 * What a process may do about a lease.
 *
 * <p>Immutable and thread safe.
 */
public enum LeaseAction {
    /** Writes itself into the row, with the next epoch. */
    TAKE,
    /** Writes its row again. */
    RENEW,
    /** Leaves the row to its holder. */
    WAIT
}
