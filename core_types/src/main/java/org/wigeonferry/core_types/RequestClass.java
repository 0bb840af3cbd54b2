package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * A class of requests with the same quality target and time limit.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the id of the request class
 * @param qualityTarget mean rating that the delivered answers should reach, 0 to 1
 * @param timeLimit maximum time from the arrival of a request to the end of its answer
 */
public record RequestClass(RequestClassId id, double qualityTarget, Duration timeLimit) {
    public RequestClass {

        if (!(qualityTarget >= 0 && qualityTarget <= 1)) {
            throw new IllegalArgumentException(
                    "quality-target must be 0 to 1, was " + qualityTarget);
        }
        if (timeLimit.isNegative() || timeLimit.isZero()) {
            throw new IllegalArgumentException("deadline-ms must be positive");
        }
    }

    /** Returns a builder; the id must be set. */
    public static RequestClassBuilder builder() {
        return new RequestClassBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public RequestClassBuilder toBuilder() {
        return new RequestClassBuilder().id(id).qualityTarget(qualityTarget).timeLimit(timeLimit);
    }
}
