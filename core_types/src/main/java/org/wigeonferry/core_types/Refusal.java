package org.wigeonferry.core_types;

import java.time.Duration;

/**
 * Statement that a request or one of its attempts was rejected before it was run, so that sending
 * it again can't run it twice.
 *
 * <p>Immutable and thread safe.
 *
 * @param reason why the request was not run
 * @param detail explanation for callers and operators
 * @param retryAfter suggested delay before a retry; zero if none is suggested
 */
public record Refusal(RefusalReason reason, String detail, Duration retryAfter) {

    /** Returns a builder; the reason must be set. */
    public static RefusalBuilder builder() {
        return new RefusalBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public RefusalBuilder toBuilder() {
        return new RefusalBuilder().reason(reason).detail(detail).retryAfter(retryAfter);
    }

    /** Returns a refusal that suggests no delay before a retry. */
    public static Refusal of(RefusalReason reason, String detail) {
        return new Refusal(reason, detail, Duration.ZERO);
    }
}
