package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Tracks when the known configuration was last confirmed to be the newest one.
 *
 * <p>The monotonic clock stands still while a machine is suspended, and the wall clock may jump. A
 * difference between the two since the last confirmation makes the configuration stale until the
 * store has answered a later query. Owned by the control thread.
 */
public final class Freshness {
    private final Duration maxAge;
    private final Duration maxClockDifference;
    private boolean everConfirmed;
    private long confirmedNanos;
    private long confirmedWallMillis;

    /**
     * The configuration is stale once it has not been confirmed for {@code maxAge}, or once the
     * clocks differ by more than {@code maxClockDifference}.
     */
    public Freshness(Duration maxAge, Duration maxClockDifference) {
        this.maxAge = maxAge;
        this.maxClockDifference = maxClockDifference;
    }

    /**
     * Records that the known configuration was the newest one at a moment, given on both clocks;
     * ignored if a later moment is recorded already.
     */
    public void recordConfirmation(long atNanos, long atWallMillis) {
        if (everConfirmed && atNanos - confirmedNanos < 0) {
            return;
        }
        everConfirmed = true;
        confirmedNanos = atNanos;
        confirmedWallMillis = atWallMillis;
    }

    /** Whether the clocks disagree on the time since the last confirmation. */
    public boolean clocksDisagree(long nowNanos, long wallMillis) {
        long monotonicMillis = (nowNanos - confirmedNanos) / 1_000_000;
        long elapsedWallMillis = wallMillis - confirmedWallMillis;
        return everConfirmed
                && Math.abs(elapsedWallMillis - monotonicMillis) > maxClockDifference.toMillis();
    }

    /** Time since the last confirmation; one day, as a value for never, if there was none. */
    public Duration age(long nowNanos) {
        return everConfirmed ? Duration.ofNanos(nowNanos - confirmedNanos) : Duration.ofDays(1);
    }

    /** Whether the configuration is recent enough to trust its API keys. */
    public boolean isUpToDate(long nowNanos, long wallMillis) {
        return everConfirmed
                && age(nowNanos).compareTo(maxAge) < 0
                && !clocksDisagree(nowNanos, wallMillis);
    }
}
