package org.wigeonferry.routing.prediction;

import java.time.Duration;

/**
 * Expected duration of work on an upstream's host relative to its mean duration, from the paces
 * that the upstream reports.
 *
 * <p>Handles the load in which other programs slow a host down for about 600 ms at a time. The
 * weight of a report decays with its age. Paces are taken relative to the mean of those that the
 * upstream reports, since the learned speed already contains the mean: an upstream whose reports
 * are always too high or too low gains and loses nothing. Invariant: from {@link #MIN} to {@link
 * #MAX}. Owned by the control thread.
 */
final class PaceEstimate {
    static final double MIN = 0.5;
    static final double MAX = 4;

    /**
     * Time after which the weight of a report is 1/e: for slow periods of 600 ms on average which
     * make up 15% of the time, 0.85 times their length.
     */
    private static final Duration DECAY_TIME = Duration.ofMillis(510);

    /** Reports beyond this age are ignored. */
    static final Duration MAX_AGE = Duration.ofSeconds(3);

    /** Weight of a report in the mean, after the first ones. */
    private static final double MIN_MEAN_WEIGHT = 0.02;

    /** Number of reports of the usual pace that the mean starts with. */
    private static final int INITIAL_REPORTS = 8;

    private double meanPace = 1;
    private double lastPace = 1;
    private long lastNanos;
    private int reports;

    /** Records a report; false, with no change, if it is too old or impossible. */
    boolean record(int pacePercent, long observedNanos, long nowNanos) {
        boolean outdated = reports > 0 && observedNanos - lastNanos <= 0;
        long age = nowNanos - observedNanos;
        if (pacePercent <= 0 || outdated || age < 0 || age > MAX_AGE.toNanos()) {
            return false;
        }
        lastPace = limit(pacePercent / 100.0);
        meanPace +=
                Math.max(MIN_MEAN_WEIGHT, 1.0 / (reports + INITIAL_REPORTS))
                        * (lastPace - meanPace);
        lastNanos = observedNanos;
        reports++;
        return true;
    }

    /** A reported pace as a multiple of the mean one. */
    double relative(int pacePercent) {
        return limit(limit(pacePercent / 100.0) / meanPace);
    }

    /** The expected duration of work now, as a multiple of the mean one. */
    double factor(long nowNanos) {
        long age = nowNanos - lastNanos;
        if (reports == 0 || age > MAX_AGE.toNanos()) {
            return 1;
        }
        double weight = Math.exp(-(double) age / DECAY_TIME.toNanos());
        return limit(1 + (lastPace / meanPace - 1) * weight);
    }

    private static double limit(double factor) {
        return Math.max(MIN, Math.min(MAX, factor));
    }
}
