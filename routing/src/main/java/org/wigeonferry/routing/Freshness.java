package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Knows when the configuration was last confirmed, by the moment at which the question was asked.
 *
 * <p>The steady clock stands still while a machine is suspended, and the time of day may jump; a
 * gap between the two makes the process stale until a question asked after it is answered. Owned by
 * the control thread.
 */
public final class Freshness {
    private final Duration bound;
    private final Duration clockGap;
    private boolean known;
    private long askedNanos;
    private long askedWallMillis;

    /** Stale after {@code bound}, or once the clocks differ by more than {@code clockGap}. */
    public Freshness(Duration bound, Duration clockGap) {
        this.bound = bound;
        this.clockGap = clockGap;
    }

    /** Notes an answer to a question asked at this moment. */
    public void confirmed(long nanos, long wallMillis) {
        if (known && nanos - askedNanos < 0) {
            return;
        }
        known = true;
        askedNanos = nanos;
        askedWallMillis = wallMillis;
    }

    /** Whether the clocks disagree on the time since the last confirmation. */
    public boolean clocksDisagree(long nanos, long wallMillis) {
        long steady = (nanos - askedNanos) / 1_000_000;
        long wall = wallMillis - askedWallMillis;
        return known && Math.abs(wall - steady) > clockGap.toMillis();
    }

    /** Time since the last confirmed question. */
    public Duration age(long nanos) {
        return known ? Duration.ofNanos(nanos - askedNanos) : Duration.ofDays(1);
    }

    /** Whether keyed requests may still be sent. */
    public boolean fresh(long nanos, long wallMillis) {
        return known && age(nanos).compareTo(bound) < 0 && !clocksDisagree(nanos, wallMillis);
    }
}
