package org.wigeonferry.decisions;

/**
 * How far a call that may not be repeated came.
 *
 * <p>Immutable and thread safe.
 */
public enum StartState {
    /** The row was inserted; the call may have been handed over. */
    STARTED,
    /** The answer is stored. */
    FINISHED,
    /** The attempt gave up before it handed the call over, and never will. */
    ABANDONED
}
