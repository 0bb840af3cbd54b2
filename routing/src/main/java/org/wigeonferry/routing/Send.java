package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * One send of a request to an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param model model that is named to the upstream
 * @param minConfidence least confidence with which the answer is delivered; 0 takes any
 * @param rank urgency that is named to the upstream
 * @param timeLeft time that the caller and the route leave
 * @param weightedUncachedTokens prompt tokens that the upstream probably has to read
 * @param startNanos when it was decided
 */
public record Send(
        UpstreamInstance upstream,
        Optional<String> account,
        Optional<String> model,
        int minConfidence,
        OptionalInt rank,
        Duration timeLeft,
        int weightedUncachedTokens,
        long startNanos)
        implements PlacementResult {}
