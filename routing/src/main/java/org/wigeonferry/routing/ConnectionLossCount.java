package org.wigeonferry.routing;

import java.time.Duration;

/**
 * How many connections in a row were lost while upstreams ran requests with one digest.
 *
 * <p>Immutable and thread safe.
 *
 * @param lastNanos time of the last loss
 * @param lastUpstream upstream of the last loss
 */
record ConnectionLossCount(int count, long lastNanos, Incarnation lastUpstream) {
    /** Losses at one upstream within this time count as one, since they have one cause. */
    private static final Duration SAME_LOSS_WINDOW = Duration.ofSeconds(1);

    static ConnectionLossCount firstLoss(Incarnation upstream, long nowNanos) {
        return new ConnectionLossCount(1, nowNanos, upstream);
    }

    ConnectionLossCount withLoss(Incarnation upstream, long nowNanos) {
        boolean sameLoss =
                lastUpstream.equals(upstream) && nowNanos - lastNanos < SAME_LOSS_WINDOW.toNanos();
        return new ConnectionLossCount(sameLoss ? count : count + 1, nowNanos, upstream);
    }
}
