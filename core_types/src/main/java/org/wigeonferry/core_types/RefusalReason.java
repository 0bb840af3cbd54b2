package org.wigeonferry.core_types;

/**
 * Why a request was not run.
 *
 * <p>Immutable and thread safe.
 */
public enum RefusalReason {
    /** The receiver's configuration is older than the sender's. */
    REVISION_BEHIND(true),
    /** The receiver does not know whether its configuration is recent. */
    NODE_STALE(true),
    /** The client account does not allow the version or service. */
    NOT_ALLOWED(false),
    /** The version was withdrawn. */
    VERSION_WITHDRAWN(true),
    /** The upstream does not run the version or offer the service. */
    NOT_SERVED(true),
    /** Operators took the availability zone out. */
    ZONE_OUT(true),
    /** The upstream is leaving. */
    UPSTREAM_LEAVING(true),
    /** The upstream is in a cold start and bears no more. */
    COLD_START_LIMIT(true),
    /** The upstream bears no more. */
    CONCURRENCY_LIMIT(true),
    /** The deadline had passed. */
    DEADLINE_PASSED(false),
    /** The request crashed upstreams. */
    POISON(false),
    /** A suspected request must wait for the one in flight. */
    SUSPECT_LIMIT(true),
    /** The process is stopping. */
    SHUTTING_DOWN(true),
    /** The platform's store did not answer. */
    STORE_UNAVAILABLE(false),
    /** The idempotency key was used with another body. */
    KEY_CONFLICT(false),
    /** A call that may not be repeated came without an idempotency key. */
    KEY_MISSING(false),
    /** No upstream could take the request. */
    NO_CAPACITY(false),
    /** The client account has too many requests in flight. */
    ACCOUNT_LIMIT(false),
    /** The upstream refused the connection, so that nothing was sent. */
    NOT_CONNECTED(true);

    private final boolean retryElsewhere;

    RefusalReason(boolean retryElsewhere) {
        this.retryElsewhere = retryElsewhere;
    }

    /** Tells whether another upstream may accept the same request now. */
    public boolean retryElsewhere() {
        return retryElsewhere;
    }
}
