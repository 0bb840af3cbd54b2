package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Moving estimate of the wait that 95 of 100 sends do not exceed.
 *
 * <p>Answers the load in which upstreams have long queues: the estimate grows with the queues, so
 * that a send that waits in one is not taken for a lost one. Invariant: between {@link #MIN} and
 * {@link #MAX}. Owned by the control thread.
 */
final class WaitQuantile {
    private static final Duration MIN = Duration.ofMillis(300);
    private static final Duration MAX = Duration.ofSeconds(30);

    /**
     * Factors by which a wait above or below the estimate moves it. They cancel out if 5 of 100
     * waits are above it.
     */
    private static final double FACTOR_ABOVE = 1.2;

    private static final double FACTOR_BELOW = Math.pow(FACTOR_ABOVE, -5.0 / 95);

    private double nanos;

    /** Starts with an estimate, which the first sends correct. */
    WaitQuantile(Duration initial) {
        nanos = initial.toNanos();
    }

    /** Records the wait of a send that was answered. */
    void record(Duration wait) {
        move(wait.toNanos() > nanos ? FACTOR_ABOVE : FACTOR_BELOW);
    }

    /** Records a send that was given up after a wait; only the shortest possible wait is known. */
    void recordGivenUp(Duration wait) {
        if (wait.toNanos() > nanos) {
            move(FACTOR_ABOVE);
        }
    }

    /** The wait that 95 of 100 sends do not exceed. */
    Duration value() {
        return Duration.ofNanos((long) nanos);
    }

    private void move(double factor) {
        nanos = Math.max(MIN.toNanos(), Math.min(MAX.toNanos(), nanos * factor));
    }
}
