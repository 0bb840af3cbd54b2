package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * A request that is not served.
 *
 * <p>Immutable and thread safe.
 *
 * @param retryAfter when the caller should try again; empty for the usual time of the cause
 */
public record Refused(RefusalCause cause, Optional<Duration> retryAfter)
        implements AdmissionResult, PlacementResult {
    /** A refusal with the usual time after which the caller should try again. */
    public Refused(RefusalCause cause) {
        this(cause, Optional.empty());
    }
}
