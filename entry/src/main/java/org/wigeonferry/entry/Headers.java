package org.wigeonferry.entry;

/**
 * Names of the headers of the callers' API.
 *
 * <p>Stateless and thread safe.
 */
final class Headers {
    /** Names the request; a resend carries the same. */
    static final String REQUEST_ID = "X-Request-Id";

    /** Session id, issued by the router. */
    static final String SESSION_ID = "X-Session";

    /** Request class. */
    static final String REQUEST_CLASS = "X-Class";

    /** Key of a call that may not be repeated. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Version that answered. */
    static final String MODEL_VERSION = "X-Version";

    /** Whether the answer is that of an earlier call with the same key. */
    static final String STORED_ANSWER = "X-Stored-Answer";

    /** Number of stages that a cascade used. */
    static final String STAGE_COUNT = "X-Stages";

    private Headers() {}
}
