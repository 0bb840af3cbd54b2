package org.wigeonferry.decisions;

/**
 * What an agent does next with a call that may not be repeated.
 *
 * <p>Immutable and thread safe.
 */
public enum StartOnceStep {
    /** Hand the call over to the service. */
    RUN,
    /** Read the row, since the outcome of the insert is not known or another row is there. */
    READ_BACK,
    /** Insert again with the same token. */
    INSERT_AGAIN,
    /** Replace the abandoned row, on condition that it has not changed. */
    TAKE_OVER,
    /** Give the stored answer. */
    RETURN_STORED,
    /** Say that another attempt may be running: the outcome is unknown. */
    REPORT_UNKNOWN,
    /** Say that the key was used with another body: not run. */
    REPORT_CONFLICT
}
