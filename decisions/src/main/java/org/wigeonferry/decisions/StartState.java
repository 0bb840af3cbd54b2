package org.wigeonferry.decisions;

/**
 * Progress of a call that must not be repeated.
 *
 * <p>Immutable and thread safe.
 */
public enum StartState {
    /** The row was written; the call may have been sent to the service. */
    STARTED,
    /** The call was answered and the answer is stored in the row. */
    FINISHED,
    /** The attempt ended before it sent the call, and will not send it later. */
    ABANDONED
}
