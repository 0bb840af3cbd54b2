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

    /** Sets why the request was not run. */
    public RefusalBuilder reason(RefusalReason value) {
        this.reason = value;
        return this;
    }

    /** Sets the explanation for callers and operators. */
    public RefusalBuilder detail(String value) {
        this.detail = value;
        return this;
    }

    /** Sets the suggested delay before a retry; zero if none is suggested. */
    public RefusalBuilder retryAfter(Duration value) {
        this.retryAfter = value;
        return this;
    }

    /** Builds the refusal without checking its fields. */
    public Refusal build() {
        return new Refusal(reason, detail, retryAfter);
    }
}
