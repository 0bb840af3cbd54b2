package org.wigeonferry.decisions;

/**
 * Next step of an agent in handling a call that must not be repeated.
 *
 * <p>Immutable and thread safe.
 */
public enum StartOnceStep {
    /** Send the call to the service. */
    RUN,
    /**
     * Read the row, since the outcome of the write is unknown or the row's condition did not hold.
     */
    READ_BACK,
    /** Insert the row again with the same token, since it is absent. */
    INSERT_AGAIN,
    /** Replace the row of an abandoned attempt, on condition that it has not changed. */
    TAKE_OVER,
    /** Return the answer that is stored in the row. */
    RETURN_STORED,
    /** Report the outcome as unknown, since another attempt may be running. */
    REPORT_UNKNOWN,
    /** Report that the call was not run, since its idempotency key was used with another body. */
    REPORT_CONFLICT
}
