package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.wigeonferry.routing.prediction.Prediction;

/**
 * One attempt to run a request on an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param model model that the upstream is asked for; empty if the service has no models
 * @param minConfidence lowest confidence, from 0 to 100, with which the answer is delivered; 0
 *     delivers any answer
 * @param rank urgency that is passed to the upstream; 0 is the most urgent
 * @param timeLeft time from {@code startNanos} to the request's deadline
 * @param weightedUncachedTokens prompt tokens that the upstream probably does not have in its
 *     prefix cache, times the relative cost of the model
 * @param heldTokens tokens of memory that the request may take at the upstream, prompt and answer
 *     together
 * @param startNanos when the upstream was chosen, by {@link System#nanoTime}
 * @param prediction the time to the first byte that is expected; empty if the upstream was not
 *     chosen by {@link RoutingState}
 */
public record Send(
        UpstreamInstance upstream,
        Optional<String> account,
        Optional<String> model,
        int minConfidence,
        OptionalInt rank,
        Duration timeLeft,
        int weightedUncachedTokens,
        int heldTokens,
        long startNanos,
        Optional<Prediction> prediction)
        implements PlacementResult {
    /** The same send, whose response time then teaches nothing about the upstream's speed. */
    public Send withoutPrediction() {
        return new Send(
                upstream,
                account,
                model,
                minConfidence,
                rank,
                timeLeft,
                weightedUncachedTokens,
                heldTokens,
                startNanos,
                Optional.empty());
    }
}
