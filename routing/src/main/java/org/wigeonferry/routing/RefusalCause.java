package org.wigeonferry.routing;

/**
 * Why a request is not served.
 *
 * <p>Immutable and thread safe.
 */
public enum RefusalCause {
    /** No configuration is known yet. */
    NO_CONFIGURATION(true),
    /** The configuration could not be confirmed for too long. */
    STALE_CONFIGURATION(true),
    /** No route has this host and path. */
    UNKNOWN_ROUTE(true),
    /** The key belongs to no account. */
    UNKNOWN_KEY(true),
    /** The request can't be read. */
    MALFORMED(true),
    /** The body is longer than the limit. */
    BODY_TOO_LONG(true),
    /** The process stops. */
    STOPPING(true),
    /** The process is overloaded. */
    OVERLOADED(true),
    /** No upstream may take the request now. */
    NO_UPSTREAM(true),
    /** The request has broken upstreams before. */
    POISON(true),
    /** Upstreams said that they did not run it, and no further try is allowed. */
    NOT_RUN(true),
    /** The caller's time is over before the request was sent. */
    TOO_LATE(true),
    /** The request was sent; whether it ran is unknown. */
    OUTCOME_UNKNOWN(false),
    /** The request was sent and had no answer in time. */
    TIMED_OUT(false);

    private final boolean neverRan;

    RefusalCause(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether it is proved that the request has not run and never will. */
    public boolean neverRan() {
        return neverRan;
    }
}
