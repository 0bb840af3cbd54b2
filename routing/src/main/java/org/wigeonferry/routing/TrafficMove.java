package org.wigeonferry.routing;

/**
 * The gradual move of a service's traffic to a release whose evidence is good.
 *
 * <p>Immutable and thread safe.
 *
 * @param orderRevision revision of the roll-out order that the move belongs to
 * @param revision version of the move's row in the store
 * @param startNanos when the move started, on the monotonic clock of this process
 */
public record TrafficMove(String service, long orderRevision, long revision, long startNanos) {
    /** Returns the same move with another version of its row. */
    TrafficMove withRevision(long newRevision) {
        return new TrafficMove(service, orderRevision, newRevision, startNanos);
    }

    /** Returns the same move for an order that has another revision now. */
    TrafficMove withOrderRevision(long newOrderRevision) {
        return new TrafficMove(service, newOrderRevision, revision, startNanos);
    }
}
