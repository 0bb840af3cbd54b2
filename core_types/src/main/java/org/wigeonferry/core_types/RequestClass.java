package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * A class of requests that share a quality target and a deadline.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the name of the class
 * @param qualityTarget least mean rating of its answers, 0 to 1
 * @param deadline time from arrival to the end of the answer
 */
public record RequestClass(ClassId id, double qualityTarget, Duration deadline) {
    public RequestClass {

        if (!(qualityTarget >= 0 && qualityTarget <= 1)) {
            throw new IllegalArgumentException("quality target out of range: " + qualityTarget);
        }
        if (deadline.isNegative() || deadline.isZero()) {
            throw new IllegalArgumentException("deadline must be positive");
        }
    }

    /** Starts a builder with the default of every optional field. */
    public static RequestClassBuilder builder() {
        return new RequestClassBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public RequestClassBuilder toBuilder() {
        return new RequestClassBuilder().id(id).qualityTarget(qualityTarget).deadline(deadline);
    }
}
