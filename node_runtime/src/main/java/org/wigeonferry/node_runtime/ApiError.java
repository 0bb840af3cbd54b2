package org.wigeonferry.node_runtime;

import java.time.Duration;

/**
 * An error response of an HTTP endpoint; the body is JSON.
 *
 * <p>Immutable and thread safe.
 *
 * @param status HTTP status
 * @param code machine-readable error code, written as {@code error.type}
 * @param knownNotRun whether the request is known not to have run
 * @param message human-readable message
 * @param retryAfter how long the caller should wait before it retries; zero for no hint
 */
public record ApiError(
        int status, String code, boolean knownNotRun, String message, Duration retryAfter) {
    /** Creates an error without a retry hint. */
    public ApiError(int status, String code, boolean knownNotRun, String message) {
        this(status, code, knownNotRun, message, Duration.ZERO);
    }
}
