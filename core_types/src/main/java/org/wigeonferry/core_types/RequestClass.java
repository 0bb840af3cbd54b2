package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * A class of requests that share a quality target and a deadline.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the name of the class
 * @param qualityTarget least mean rating of its answers, 0 to 1
 * @param timeLimit time from arrival to the end of the answer
 */
public record RequestClass(RequestClassId id, double qualityTarget, Duration timeLimit) {
    public RequestClass {

        if (!(qualityTarget >= 0 && qualityTarget <= 1)) {
            throw new IllegalArgumentException("quality target out of range: " + qualityTarget);
        }
        if (timeLimit.isNegative() || timeLimit.isZero()) {
            throw new IllegalArgumentException("deadline must be positive");
        }
    }

    /** Starts a builder with the default of every optional field. */
    public static RequestClassBuilder builder() {
        return new RequestClassBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public RequestClassBuilder toBuilder() {
        return new RequestClassBuilder().id(id).qualityTarget(qualityTarget).timeLimit(timeLimit);
    }
}
