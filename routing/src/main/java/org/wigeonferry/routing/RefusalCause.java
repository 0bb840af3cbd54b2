package org.wigeonferry.routing;

/**
 * Why a request is not served.
 *
 * <p>Immutable and thread safe.
 */
public enum RefusalCause {
    /** No configuration has been received yet. */
    NO_CONFIGURATION(true),
    /** The configuration has not been confirmed to be the newest one for too long. */
    STALE_CONFIGURATION(true),
    /** No route matches the host and path. */
    UNKNOWN_ROUTE(true),
    /** The key belongs to no account. */
    UNKNOWN_KEY(true),
    /** The request can't be parsed. */
    MALFORMED(true),
    /** The body is longer than the limit. */
    BODY_TOO_LONG(true),
    /** The process is shutting down. */
    STOPPING(true),
    /** The retry budget of the service is used up. */
    OVERLOADED(true),
    /** No upstream may take the request now. */
    NO_UPSTREAM(true),
    /** The request is known to crash upstreams. */
    POISON(true),
    /**
     * Upstreams reported that they did not run the request, and no further send is allowed. Not
     * issued at present: the number of sends that did not run is not limited, and once an upstream
     * may have run the request the cause is {@link #OUTCOME_UNKNOWN}.
     */
    NOT_RUN(true),
    /** All upstreams are full, and the request would be sent too late to be answered in time. */
    WAIT_TOO_LONG(true),
    /** All upstreams are full, and so is the queue. */
    QUEUE_FULL(true),
    /** Too little of the caller's time is left to send the request. */
    TOO_LATE(true),
    /** The request was sent; whether it ran is unknown. */
    OUTCOME_UNKNOWN(false),
    /** The request was sent and was not answered in time. */
    TIMED_OUT(false);

    private final boolean neverRan;

    RefusalCause(boolean neverRan) {
        this.neverRan = neverRan;
    }

    /** Whether it is certain that the request has not run and never will. */
    public boolean neverRan() {
        return neverRan;
    }
}
