package org.wigeonferry.decisions;

/**
 * What a process may do with a lease row after reading it.
 *
 * <p>Immutable and thread safe.
 */
public enum LeaseAction {
    /** Write the row with this process as the holder and with the next epoch. */
    TAKE,
    /** Write the row again to renew the lease that this process holds. */
    RENEW,
    /** Do not write: another process holds the lease. */
    WAIT
}
