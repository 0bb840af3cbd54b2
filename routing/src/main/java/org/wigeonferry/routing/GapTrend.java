package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * How the time between the events of a stream grows with the number of requests that an upstream
 * runs: a linear regression of logarithms, in which older streams fade out.
 *
 * <p>Invariant: the growth is never negative and at most proportional to the number of requests.
 * Owned by the control thread.
 */
final class GapTrend {
    /** Streams before the trend is used. */
    private static final int MIN_STREAMS = 5;

    private static final double NEW_STREAM_WEIGHT = 0.02;

    /**
     * Added to the running requests. The time of a step has a part that does not depend on them, so
     * the first few make little difference.
     */
    private static final int BASE_REQUESTS = 8;

    /** Spread of the logarithm of the load below which no growth can be told. */
    private static final double MIN_LOAD_VARIANCE = 0.01;

    private int streams;
    private double meanLoad;
    private double meanGap;
    private double loadVariance;
    private double covariance;

    void add(int running, Duration gap) {
        streams++;
        double weight = Math.max(NEW_STREAM_WEIGHT, 1.0 / streams);
        double loadDeviation = logOfLoad(running) - meanLoad;
        double gapDeviation = logOf(gap) - meanGap;
        meanLoad += weight * loadDeviation;
        meanGap += weight * gapDeviation;
        loadVariance = (1 - weight) * (loadVariance + weight * loadDeviation * loadDeviation);
        covariance = (1 - weight) * (covariance + weight * loadDeviation * gapDeviation);
    }

    /** Natural logarithm of a gap's ratio to the one expected; empty while that is not known. */
    Optional<Double> logRatio(int running, Duration gap) {
        if (streams < MIN_STREAMS) {
            return Optional.empty();
        }
        double expected = meanGap + growth() * (logOfLoad(running) - meanLoad);
        return Optional.of(logOf(gap) - expected);
    }

    private double growth() {
        return loadVariance < MIN_LOAD_VARIANCE
                ? 0
                : Math.max(0, Math.min(1, covariance / loadVariance));
    }

    private static double logOfLoad(int running) {
        return Math.log(BASE_REQUESTS + Math.max(0, running));
    }

    private static double logOf(Duration gap) {
        return Math.log(Math.max(1, gap.toNanos()));
    }
}
