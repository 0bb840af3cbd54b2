package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Moving estimate of the wait that a share of the sends exceeds, by default 5 of 100.
 *
 * <p>Handles the load in which upstreams have long queues: the estimate grows with the queues, so
 * that a send that waits in one is not taken for a lost one. Invariant: between a lower bound and
 * {@link #MAX}. Owned by the control thread.
 */
final class WaitQuantile {
    private static final Duration MIN = Duration.ofMillis(300);
    private static final Duration MAX = Duration.ofSeconds(30);

    /** Share of the sends that wait for longer than the estimate, unless another is given. */
    static final double SHARE_OF_LONG_WAITS = 0.05;

    /** Factor by which a wait above the estimate moves it. */
    private static final double FACTOR_ABOVE = 1.2;

    private final Duration min;

    /** Cancels out {@link #FACTOR_ABOVE} if the share of waits above the estimate is as given. */
    private final double factorBelow;

    private double nanos;

    /** Starts with an estimate, which the first sends correct. */
    WaitQuantile(Duration initial) {
        this(initial, MIN, SHARE_OF_LONG_WAITS);
    }

    /**
     * Starts with an estimate, which the first sends correct.
     *
     * @param min lower bound of the estimate
     * @param shareAbove share of the sends that wait for longer, from 0 to 1
     */
    WaitQuantile(Duration initial, Duration min, double shareAbove) {
        this.min = min;
        factorBelow = Math.pow(FACTOR_ABOVE, -shareAbove / (1 - shareAbove));
        nanos = initial.toNanos();
    }

    /** Records the wait of a send that was answered. */
    void record(Duration wait) {
        move(wait.toNanos() > nanos ? FACTOR_ABOVE : factorBelow);
    }

    /** Records a send that was given up after a wait; only the shortest possible wait is known. */
    void recordGivenUp(Duration wait) {
        if (wait.toNanos() > nanos) {
            move(FACTOR_ABOVE);
        }
    }

    /** The wait that the other sends do not exceed. */
    Duration value() {
        return Duration.ofNanos((long) nanos);
    }

    private void move(double factor) {
        nanos = Math.max(min.toNanos(), Math.min(MAX.toNanos(), nanos * factor));
    }
}
