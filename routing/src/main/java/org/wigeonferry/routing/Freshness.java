package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Knows the last moment at which the known configuration was surely the newest one.
 *
 * <p>The steady clock stands still while a machine is suspended, and the time of day may jump; a
 * gap between the two makes the process stale until a question asked after it is answered. Owned by
 * the control thread.
 */
public final class Freshness {
    private final Duration bound;
    private final Duration clockGap;
    private boolean known;
    private long asOfNanos;
    private long asOfWallMillis;

    /** Stale after {@code bound}, or once the clocks differ by more than {@code clockGap}. */
    public Freshness(Duration bound, Duration clockGap) {
        this.bound = bound;
        this.clockGap = clockGap;
    }

    /** Notes that the known configuration was the newest one at a moment. */
    public void recordConfirmation(long nanos, long wallMillis) {
        if (known && nanos - asOfNanos < 0) {
            return;
        }
        known = true;
        asOfNanos = nanos;
        asOfWallMillis = wallMillis;
    }

    /** Whether the clocks disagree on the time since the last confirmation. */
    public boolean clocksDisagree(long nanos, long wallMillis) {
        long steady = (nanos - asOfNanos) / 1_000_000;
        long wall = wallMillis - asOfWallMillis;
        return known && Math.abs(wall - steady) > clockGap.toMillis();
    }

    /** Time since that moment. */
    public Duration age(long nanos) {
        return known ? Duration.ofNanos(nanos - asOfNanos) : Duration.ofDays(1);
    }

    /** Whether keyed requests may still be sent. */
    public boolean isUpToDate(long nanos, long wallMillis) {
        return known && age(nanos).compareTo(bound) < 0 && !clocksDisagree(nanos, wallMillis);
    }
}
