package org.wigeonferry.routing.prediction;

import java.time.Duration;

/**
 * Duration of work at one upstream as a multiple of the typical one of its service, learned from
 * response times.
 *
 * <p>A router sees few responses of each upstream, so that only one number is learned for each,
 * while the times per request and per token are learned from all upstreams of a service. Invariant:
 * from 1 / {@link #MAX} to {@link #MAX}. Owned by the control thread.
 */
final class RelativeTime {
    /** Responses whose time is odd, or reports that are false, move the speed no further. */
    static final double MAX = 6;

    /** Largest ratio of an observed time to the predicted one that is learned from. */
    private static final double MAX_OBSERVED_RATIO = 3;

    private static final double MIN_GAIN = 0.1;
    private static final double ERROR_WEIGHT = 0.05;

    /** Relative error that is assumed before the first responses. */
    private static final double INITIAL_ERROR = 0.4;

    /**
     * Part of the logarithm that is kept at each response. Without this, all upstreams of a service
     * could become slower than the typical one.
     */
    private static final double RETENTION = 0.999;

    /**
     * Without responses for so long, the logarithm is halved, and again at each {@link #HALF_LIFE}:
     * an upstream that is taken for slow gets no requests that would correct it.
     */
    private static final Duration MAX_TIME_WITHOUT_RESPONSE = Duration.ofSeconds(30);

    private static final Duration HALF_LIFE = Duration.ofSeconds(15);

    private double logarithm;
    private double factor = 1;
    private double error = INITIAL_ERROR;
    private int responses;
    private long nextHalvingNanos;

    /** The duration of work as a multiple of the typical one. */
    double factor(long nowNanos) {
        if (logarithm != 0 && nowNanos - nextHalvingNanos >= 0) {
            logarithm /= 2;
            factor = Math.exp(logarithm);
            nextHalvingNanos = nowNanos + HALF_LIFE.toNanos();
        }
        return factor;
    }

    /** Mean absolute logarithm of the ratios of observed to predicted times. */
    double error() {
        return error;
    }

    /** Learns from the ratio of the time of a response to the predicted one. */
    void record(double ratio, long nowNanos) {
        double limit = Math.log(MAX_OBSERVED_RATIO);
        double logRatio = Math.max(-limit, Math.min(limit, Math.log(ratio)));
        error += ERROR_WEIGHT * (Math.abs(logRatio) - error);
        double gain = Math.max(MIN_GAIN, 1.0 / (responses + 2));
        double maxLogarithm = Math.log(MAX);
        double newLogarithm = RETENTION * logarithm + gain * logRatio;
        logarithm = Math.max(-maxLogarithm, Math.min(maxLogarithm, newLogarithm));
        factor = Math.exp(logarithm);
        responses++;
        nextHalvingNanos = nowNanos + MAX_TIME_WITHOUT_RESPONSE.toNanos();
    }
}
