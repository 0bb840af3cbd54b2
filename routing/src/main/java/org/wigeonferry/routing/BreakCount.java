package org.wigeonferry.routing;

import java.time.Duration;

/**
 * How often a content broke upstreams in a row.
 *
 * <p>Immutable and thread safe.
 *
 * @param lastAt where it broke last
 */
record BreakCount(int count, long lastNanos, Incarnation lastAt) {
    /** Connections to one upstream that break within this time broke by one cause. */
    private static final Duration ONE_BREAK = Duration.ofSeconds(1);

    static BreakCount first(Incarnation at, long now) {
        return new BreakCount(1, now, at);
    }

    BreakCount then(Incarnation at, long now) {
        boolean sameBreak = lastAt.equals(at) && now - lastNanos < ONE_BREAK.toNanos();
        return new BreakCount(sameBreak ? count : count + 1, now, at);
    }
}
