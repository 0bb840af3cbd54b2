package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Times in which an upstream is used only if all others are suspended too, since sends to it were
 * lost.
 *
 * <p>Owned by the control thread.
 */
final class Suspension {
    /**
     * How long an upstream is suspended after an outcome of NOT_SENT, BROKEN or SILENT. Doubles
     * with each such outcome, at most {@link #MAX_DOUBLINGS} times, until an ANSWERED one.
     */
    private static final Duration FIRST_DURATION = Duration.ofMillis(400);

    private static final int MAX_DOUBLINGS = 3;

    private int consecutiveLosses;
    private long endNanos;

    Suspension(long nowNanos) {
        endNanos = nowNanos;
    }

    boolean isOn(long nowNanos) {
        return endNanos - nowNanos > 0;
    }

    void onAnswer() {
        consecutiveLosses = 0;
    }

    void onLoss(long nowNanos) {
        endNanos =
                nowNanos + (FIRST_DURATION.toNanos() << Math.min(consecutiveLosses, MAX_DOUBLINGS));
        consecutiveLosses++;
    }
}
