package org.wigeonferry.routing;

import java.time.Duration;

/**
 * How often a content broke upstreams in a row.
 *
 * <p>Immutable and thread safe.
 *
 * @param lastUpstream where it broke last
 */
record ConnectionLossCount(int count, long lastNanos, Incarnation lastUpstream) {
    /** Connections to one upstream that break within this time broke by one cause. */
    private static final Duration ONE_BREAK = Duration.ofSeconds(1);

    static ConnectionLossCount firstLoss(Incarnation at, long now) {
        return new ConnectionLossCount(1, now, at);
    }

    ConnectionLossCount withLoss(Incarnation at, long now) {
        boolean sameBreak = lastUpstream.equals(at) && now - lastNanos < ONE_BREAK.toNanos();
        return new ConnectionLossCount(sameBreak ? count : count + 1, now, at);
    }
}
