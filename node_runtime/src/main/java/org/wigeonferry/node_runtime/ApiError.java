package org.wigeonferry.node_runtime;

import java.time.Duration;

/**
 * An error as callers and operators see it.
 *
 * <p>Immutable and thread safe.
 *
 * @param status HTTP status
 * @param code names the error
 * @param knownNotRun whether the request is known not to have run
 * @param message what a person can read
 * @param retryAfter when another try makes sense; zero if no hint is given
 */
public record ApiError(
        int status, String code, boolean knownNotRun, String message, Duration retryAfter) {
    /** An error without a hint when to retry. */
    public ApiError(int status, String code, boolean notRun, String message) {
        this(status, code, notRun, message, Duration.ZERO);
    }
}
