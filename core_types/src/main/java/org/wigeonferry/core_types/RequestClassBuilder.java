package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * Builds a {@link RequestClass}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class RequestClassBuilder {
    private RequestClassId id;
    private double qualityTarget = 0.5;
    private Duration timeLimit = Duration.ofSeconds(30);

    RequestClassBuilder() {}

    /** Sets the id of the request class. */
    public RequestClassBuilder id(RequestClassId value) {
        this.id = value;
        return this;
    }

    /** Sets the mean rating that the delivered answers should reach, 0 to 1; 0.5 by default. */
    public RequestClassBuilder qualityTarget(double value) {
        this.qualityTarget = value;
        return this;
    }

    /**
     * Sets the maximum time from the arrival of a request to the end of its answer; 30 s by
     * default.
     */
    public RequestClassBuilder timeLimit(Duration value) {
        this.timeLimit = value;
        return this;
    }

    /**
     * Builds the request class.
     *
     * @throws IllegalArgumentException if the quality target is out of range or the time limit is
     *     not positive
     */
    public RequestClass build() {
        return new RequestClass(id, qualityTarget, timeLimit);
    }
}
