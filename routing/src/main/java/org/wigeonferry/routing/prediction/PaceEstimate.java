package org.wigeonferry.routing.prediction;

import java.time.Duration;

/**
 * Expected duration of work on an upstream's host relative to the usual one, from the paces that
 * the upstream reports.
 *
 * <p>Answers the load in which other programs slow a host down for about 600 ms at a time. The
 * weight of a report decays with its age, toward the mean of all reports, so that an upstream whose
 * reports are always too high or too low is predicted as its response times show. Invariant: from
 * {@link #MIN} to {@link #MAX}. Owned by the control thread.
 */
final class PaceEstimate {
    static final double MIN = 0.25;
    static final double MAX = 5;

    /**
     * Time after which the weight of a report is 1/e: for slow periods of 600 ms on average which
     * make up 15% of the time, 0.85 times their length.
     */
    private static final Duration DECAY_TIME = Duration.ofMillis(510);

    /** Reports beyond this age are ignored. */
    static final Duration MAX_AGE = Duration.ofSeconds(3);

    private static final double MEAN_WEIGHT = 0.03;

    private double mean = 1;
    private double last = 1;
    private long lastNanos;
    private boolean known;

    /** Records a report; false, with no change, if it is too old or impossible. */
    boolean record(int pacePercent, long observedNanos, long nowNanos) {
        boolean outdated = known && observedNanos - lastNanos <= 0;
        long age = nowNanos - observedNanos;
        if (pacePercent <= 0 || outdated || age < 0 || age > MAX_AGE.toNanos()) {
            return false;
        }
        last = Math.max(MIN, Math.min(MAX, pacePercent / 100.0));
        mean += MEAN_WEIGHT * (last - mean);
        lastNanos = observedNanos;
        known = true;
        return true;
    }

    /** The expected duration of work now, as a multiple of the usual one. */
    double factor(long nowNanos) {
        long age = nowNanos - lastNanos;
        if (!known || age > MAX_AGE.toNanos()) {
            return mean;
        }
        return mean + (last - mean) * Math.exp(-(double) age / DECAY_TIME.toNanos());
    }
}
