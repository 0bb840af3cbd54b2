package org.wigeonferry.routing;

/**
 * How far a roll-out is.
 *
 * <p>Immutable and thread safe.
 */
public enum RollOutState {
    /** Both releases serve. */
    RUNNING,
    /** Only the new release serves. */
    COMPLETED,
    /** Only the old release serves. */
    ROLLED_BACK
}
