package org.wigeonferry.routing.prediction;

import java.time.Duration;

/**
 * The predicted time from the choice of an upstream to the first byte of its response.
 *
 * <p>Immutable and thread safe.
 *
 * @param work what the upstream does in that time
 * @param pace expected duration of that work relative to its mean duration at the upstream
 * @param roundTrip the part of the time that is spent on the network between zones
 * @param time the whole time
 * @param relativeError typical ratio of the error to the predicted time
 * @param learned whether a response of the service has been seen; the speed is only assumed before
 */
public record Prediction(
        Work work,
        double pace,
        Duration roundTrip,
        Duration time,
        double relativeError,
        boolean learned) {

    /** Ratio of an observed time to the predicted one. */
    public double ratioOf(Duration observed) {
        return (double) observed.toNanos() / Math.max(1, time.toNanos());
    }
}
