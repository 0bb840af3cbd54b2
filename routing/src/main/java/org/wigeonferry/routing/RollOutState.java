package org.wigeonferry.routing;

/**
 * Stage that a roll-out has reached.
 *
 * <p>Immutable and thread safe.
 */
public enum RollOutState {
    /** Both releases serve. */
    RUNNING,
    /** The new release serves; the old one only if no upstream of the new one can. */
    COMPLETED,
    /** Only the old release serves. */
    ROLLED_BACK
}
