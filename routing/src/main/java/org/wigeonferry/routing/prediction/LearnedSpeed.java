package org.wigeonferry.routing.prediction;

/**
 * Time that work takes, learned from response times: a time for each request and one for each
 * prompt token.
 *
 * <p>Errors are taken as logarithms of ratios, so that a response that is late by a large factor
 * does not outweigh many ordinary ones, and both times stay positive. Invariant: both times are
 * within their absolute limits, and a response changes the predicted time by at most {@link
 * #MAX_RATIO}, or {@link #MAX_FIRST_RATIO} for the first responses. Owned by the control thread.
 */
final class LearnedSpeed {
    private static final double MIN_REQUEST_NANOS = 50_000;
    private static final double MAX_REQUEST_NANOS = 10e9;
    private static final double MIN_TOKEN_NANOS = 100;
    private static final double MAX_TOKEN_NANOS = 5e6;

    /** Largest ratio of an observed time to the predicted one that is learned from. */
    static final double MAX_RATIO = 3;

    /** The same for the first responses, before which the times are only assumed. */
    static final double MAX_FIRST_RATIO = 64;

    private static final int FIRST_RESPONSES = 3;

    /** Relative error that is assumed before the first response. */
    private static final double INITIAL_ERROR = 0.5;

    private static final double ERROR_WEIGHT = 0.05;

    private final double minGain;
    private double requestNanos;
    private double tokenNanos;
    private double relativeError = INITIAL_ERROR;
    private int responses;

    /**
     * Starts with assumed times.
     *
     * @param minGain weight of a response after the first ones
     */
    LearnedSpeed(double requestNanos, double tokenNanos, double minGain) {
        this.requestNanos = requestNanos;
        this.tokenNanos = tokenNanos;
        this.minGain = minGain;
    }

    /** Starts with the times of another estimate. */
    LearnedSpeed(LearnedSpeed other, double minGain) {
        this(other.requestNanos, other.tokenNanos, minGain);
        relativeError = other.relativeError;
    }

    /** Predicted duration of work at the usual pace. */
    double nanos(double tokens, double rounds) {
        return requestNanos * rounds + tokenNanos * tokens;
    }

    double tokenNanos() {
        return tokenNanos;
    }

    /** Mean absolute logarithm of the ratios of observed to predicted times. */
    double relativeError() {
        return relativeError;
    }

    int responses() {
        return responses;
    }

    /** Learns from work that took {@code nanos}, converted to the usual pace. */
    void record(Work work, double nanos) {
        double predicted = nanos(work.tokens(), work.rounds());
        double maxRatio = responses < FIRST_RESPONSES ? MAX_FIRST_RATIO : MAX_RATIO;
        double limit = Math.log(maxRatio);
        double logRatio =
                Math.max(-limit, Math.min(limit, Math.log(Math.max(1, nanos) / predicted)));
        if (responses > 0) {
            relativeError += ERROR_WEIGHT * (Math.abs(logRatio) - relativeError);
        }
        double requestShare = requestNanos * work.rounds() / predicted;
        double tokenShare = 1 - requestShare;
        double step =
                Math.max(minGain, 1.0 / (responses + 1))
                        * logRatio
                        / (requestShare * requestShare + tokenShare * tokenShare);
        requestNanos =
                limit(
                        requestNanos * Math.exp(step * requestShare),
                        MIN_REQUEST_NANOS,
                        MAX_REQUEST_NANOS);
        tokenNanos =
                limit(tokenNanos * Math.exp(step * tokenShare), MIN_TOKEN_NANOS, MAX_TOKEN_NANOS);
        responses++;
    }

    /** Keeps both times within a factor of those of another estimate. */
    void limitTo(LearnedSpeed other, double factor) {
        requestNanos =
                limit(requestNanos, other.requestNanos / factor, other.requestNanos * factor);
        tokenNanos = limit(tokenNanos, other.tokenNanos / factor, other.tokenNanos * factor);
    }

    private static double limit(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
