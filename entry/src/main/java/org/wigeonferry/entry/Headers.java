package org.wigeonferry.entry;

/**
 * Names of the HTTP headers of the callers' API.
 *
 * <p>Stateless and thread safe.
 */
final class Headers {
    /** Id of the request; a caller that sends a request again must use the same id. */
    static final String REQUEST_ID = "X-Request-Id";

    /** Session id, issued by an entry; it names the version that the session uses. */
    static final String SESSION_ID = "X-Session";

    /** Name of the request class, which sets the time limit and the quality target. */
    static final String REQUEST_CLASS = "X-Class";

    /** Idempotency key of a call that must run at most once. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Model version that generated the answer. */
    static final String MODEL_VERSION = "X-Version";

    /** Whether the answer is the stored one of an earlier call with the same idempotency key. */
    static final String STORED_ANSWER = "X-Stored-Answer";

    /** Number of cascade stages that were run. */
    static final String STAGE_COUNT = "X-Stages";

    private Headers() {}
}
