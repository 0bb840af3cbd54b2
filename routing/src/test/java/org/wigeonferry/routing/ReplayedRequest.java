package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.routing.prediction.Prediction;

/**
 * The outcome of a request in a {@link FleetReplay}.
 *
 * @param send empty if the request was refused
 * @param firstByteNanos time from the choice of the upstream to the first byte
 * @param slow whether the upstream's host was slow when the request arrived there
 */
record ReplayedRequest(
        String traffic, long startNanos, Optional<Send> send, long firstByteNanos, boolean slow) {
    double firstByteMillis() {
        return firstByteNanos / 1e6;
    }

    /** Ratio of the observed to the predicted time; empty without a prediction. */
    Optional<Double> ratio() {
        return send.flatMap(Send::prediction)
                .filter(Prediction::learned)
                .map(prediction -> prediction.ratioOf(Duration.ofNanos(firstByteNanos)));
    }
}
