package org.wigeonferry.core_types;

/**
 * Why a request, or one attempt of it, was not run. The names of the constants stand in messages
 * between processes, in error messages to callers and in metrics.
 *
 * <p>Immutable and thread safe.
 */
public enum RefusalReason {
    /** The agent's configuration is older than that of the entry that sent the order. */
    REVISION_BEHIND(true),
    /** The agent's configuration was not confirmed within the freshness bound. */
    NODE_STALE(true),
    /** The client account may not use the model version or the service. */
    NOT_ALLOWED(false),
    /** The model version was withdrawn, or is not configured. */
    VERSION_WITHDRAWN(true),
    /** The upstream does not offer the model version or the service. */
    NOT_SERVED(true),
    /** Operators have disabled the upstream's availability zone. */
    ZONE_OUT(true),
    /** The upstream is draining and takes no new work. */
    UPSTREAM_LEAVING(true),
    /** The upstream is in a cold start and already runs its reduced maximum of attempts. */
    COLD_START_LIMIT(true),
    /** The upstream already runs its maximum of attempts, or answered with HTTP status 503. */
    CONCURRENCY_LIMIT(true),
    /** The time limit of the request had passed before an attempt was started. */
    DEADLINE_PASSED(false),
    /** The request is known to crash upstreams (a poison request). */
    POISON(false),
    /** The request may crash upstreams, and another suspected request is in flight. */
    SUSPECT_LIMIT(true),
    /** The process is shutting down. */
    SHUTTING_DOWN(true),
    /** The platform's table service did not answer. */
    STORE_UNAVAILABLE(false),
    /** The idempotency key was already used for a different request. */
    KEY_CONFLICT(false),
    /** A call that is not safe to repeat came without an idempotency key. */
    KEY_MISSING(false),
    /** The entry's admission check of the request failed with an error. */
    NO_CAPACITY(false),
    /** The client account has its maximum of requests in flight at this entry. */
    ACCOUNT_LIMIT(false),
    /**
     * The agent or its upstream could not be connected to, or the agent rejected the order with an
     * HTTP status below 500; nothing was run.
     */
    NOT_CONNECTED(true);

    private final boolean mayRetryElsewhere;

    RefusalReason(boolean mayRetryElsewhere) {
        this.mayRetryElsewhere = mayRetryElsewhere;
    }

    /** Returns whether another upstream may accept the same request now. */
    public boolean mayRetryElsewhere() {
        return mayRetryElsewhere;
    }
}
