package org.wigeonferry.decisions;

/**
 * What to do with a roll-out.
 *
 * <p>Immutable and thread safe.
 */
public enum RollOutDecision {
    /** Waits for more evidence. */
    HOLD,
    /** Exposes the version to more requests. */
    ADVANCE,
    /** Exposes the version to none. */
    PULL_BACK
}
