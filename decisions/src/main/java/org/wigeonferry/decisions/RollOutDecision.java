package org.wigeonferry.decisions;

/**
 * Decision of a {@link RollOutGate} on a roll-out.
 *
 * <p>Immutable and thread safe.
 */
public enum RollOutDecision {
    /** Keep the exposure and wait for more evidence. */
    HOLD,
    /** Expose the version to a greater share of requests. */
    ADVANCE,
    /** Roll back: expose the version to no requests. */
    PULL_BACK
}
