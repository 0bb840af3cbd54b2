package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * A refusal that says the request was not run.
 *
 * <p>Immutable and thread safe.
 *
 * @param reason why
 * @param detail what a caller or operator can read
 * @param retryAfter when another try makes sense; zero for at once
 */
public record Refusal(RefusalReason reason, String detail, Duration retryAfter) {

    /** Starts a builder with the default of every optional field. */
    public static RefusalBuilder builder() {
        return new RefusalBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public RefusalBuilder toBuilder() {
        return new RefusalBuilder().reason(reason).detail(detail).retryAfter(retryAfter);
    }

    /** Refuses without a hint when to retry. */
    public static Refusal of(RefusalReason reason, String detail) {
        return new Refusal(reason, detail, Duration.ZERO);
    }
}
