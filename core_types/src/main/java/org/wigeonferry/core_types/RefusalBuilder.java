package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * Builds a {@link Refusal}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class RefusalBuilder {
    private RefusalReason reason;
    private String detail = "";
    private Duration retryAfter = Duration.ZERO;

    RefusalBuilder() {}

    /** Sets why. */
    public RefusalBuilder reason(RefusalReason value) {
        this.reason = value;
        return this;
    }

    /** Sets what a caller or operator can read. */
    public RefusalBuilder detail(String value) {
        this.detail = value;
        return this;
    }

    /** Sets when another try makes sense; zero for at once. */
    public RefusalBuilder retryAfter(Duration value) {
        this.retryAfter = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link Refusal}. */
    public Refusal build() {
        return new Refusal(reason, detail, retryAfter);
    }
}
