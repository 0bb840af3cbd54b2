package org.wigeonferry.routing;

import java.time.Duration;

/**
 * How much later than usual a service's upstreams begin to answer, as a mean of recent answers.
 *
 * <p>Without answers it goes back to normal, so that a service is tried again after it was spared.
 * Owned by the control thread.
 */
final class Slowness {
    /** Time to the start of an answer with nothing to read, and for each token to be read. */
    private static final double USUAL_MICROS = 80_000;

    private static final double TOKEN_MICROS = 60;

    /** Cuts off what a single answer adds to a mean. */
    private static final double MOST = 12;

    private static final double NORMAL = 1;
    private static final double WEIGHT = 0.08;
    private static final Duration HALF_LIFE = Duration.ofSeconds(2);

    private double mean = NORMAL;
    private long lastNanos;

    /** The time to the start of an answer over the usual one for the tokens to be read. */
    static double ratio(Duration first, Send send) {
        double usual = USUAL_MICROS + TOKEN_MICROS * send.weightedUncachedTokens();
        return Math.min(MOST, first.toNanos() / 1000.0 / usual);
    }

    void recordResponseStart(Duration first, Send send, long now) {
        mean = meanRatio(now) + WEIGHT * (ratio(first, send) - meanRatio(now));
        lastNanos = now;
    }

    /** The mean now; 1 is normal. */
    double meanRatio(long now) {
        double halves = (double) (now - lastNanos) / HALF_LIFE.toNanos();
        return NORMAL + (mean - NORMAL) * Math.pow(0.5, Math.max(0, halves - 0.5));
    }
}
