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
    /** A refusal of a job; the outcome is unknown if an upstream may have run it. */
    static Refused of(Job job, RefusalCause cause) {
        return new Refused(job.possibleRuns() > 0 ? RefusalCause.OUTCOME_UNKNOWN : cause);
    }

    /** The same refusal with the time after which the caller should try again. */
    Refused withRetryAfter(Optional<Duration> newRetryAfter) {
        return new Refused(cause, newRetryAfter);
    }

    /** A refusal with the usual time after which the caller should try again. */
    public Refused(RefusalCause cause) {
        this(cause, Optional.empty());
    }
}
