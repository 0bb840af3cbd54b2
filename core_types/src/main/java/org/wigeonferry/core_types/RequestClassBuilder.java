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

    /** Sets the name of the class. */
    public RequestClassBuilder id(RequestClassId value) {
        this.id = value;
        return this;
    }

    /** Sets least mean rating of its answers, 0 to 1. */
    public RequestClassBuilder qualityTarget(double value) {
        this.qualityTarget = value;
        return this;
    }

    /** Sets time from arrival to the end of the answer. */
    public RequestClassBuilder timeLimit(Duration value) {
        this.timeLimit = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link RequestClass}. */
    public RequestClass build() {
        return new RequestClass(id, qualityTarget, timeLimit);
    }
}
