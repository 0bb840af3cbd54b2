package org.wigeonferry.routing.hedging;

/**
 * Why a request is not sent a second time.
 *
 * <p>Immutable and thread safe.
 */
public enum NoHedgeCause {
    /** Hedged sends are switched off, or the request must not be repeated. */
    DISABLED,
    /** The request would have no run left that it may need after a response has begun. */
    NO_RUN_LEFT,
    /** A second send would probably miss the latency objective or the deadline. */
    TOO_LATE,
    /** Requests of the service wait, or its retry budget has no spare retries. */
    OVERLOADED,
    /** The hedged sends allowed for each first send are used up. */
    SHARE_USED,
    /** A roll-out of the service is running, whose evidence compares uncancelled sends. */
    ROLL_OUT,
    /** The upstream has been silent for so long that its sends must end as silent ones. */
    UPSTREAM_SILENT,
    /** The key is no longer valid, or the request is known to crash upstreams. */
    NOT_ALLOWED,
    /** No upstream may take a hedged send now. */
    NO_UPSTREAM
}
