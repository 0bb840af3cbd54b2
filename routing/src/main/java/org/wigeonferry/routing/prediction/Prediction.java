package org.wigeonferry.routing.prediction;

import java.time.Duration;

/**
 * The predicted time from the choice of an upstream to the first byte of its response.
 *
 * <p>Immutable and thread safe.
 *
 * @param work what the upstream does in that time
 * @param pace expected duration of that work relative to the usual one
 * @param roundTrip the part of the time that is spent on the network between zones
 * @param time the whole time
 * @param relativeError typical ratio of the error to the predicted time
 */
public record Prediction(
        Work work, double pace, Duration roundTrip, Duration time, double relativeError) {

    /** Ratio of an observed time to the predicted one. */
    public double ratioOf(Duration observed) {
        return (double) observed.toNanos() / Math.max(1, time.toNanos());
    }
}
