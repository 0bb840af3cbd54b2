package org.wigeonferry.routing;

import java.util.List;
import java.util.Optional;

/**
 * The prompt tokens of a job, prepared for the comparison of many upstreams of its service.
 *
 * <p>Used for one decision on the control thread.
 */
final class JobTokens {
    private final int promptTokens;
    private final List<PromptPart> parts;
    private final List<String> cacheKeys;
    private final double weight;
    private final Optional<PromptPart> sharedPart;

    /**
     * Prepares the tokens of a job.
     *
     * @param anyUpstream an upstream of the service, all of which have the same model costs
     */
    JobTokens(Job job, Optional<String> model, UpstreamState anyUpstream) {
        RoutedRequest request = job.request();
        promptTokens = request.promptTokens();
        parts = request.parts();
        cacheKeys = model.map(name -> PrefixCacheEstimate.keys(name, parts)).orElseGet(List::of);
        weight = model.map(anyUpstream::relativeCost).orElse(1.0);
        sharedPart = model.flatMap(name -> request.sharedPart());
    }

    /** Tokens that an upstream probably has to process, times the model's relative cost. */
    double uncachedAt(UpstreamState state) {
        int cached = cacheKeys.isEmpty() ? 0 : state.cachedTokens(cacheKeys, parts);
        return Math.max(0, promptTokens - cached) * weight;
    }

    /**
     * A pseudo-random part of the weighted tokens of the shared prompt part, the same at all
     * routers, so that they prefer the same upstreams for a part that no upstream has cached.
     */
    double sharedPartAffinity(UpstreamState state) {
        return sharedPart.isEmpty()
                ? 0
                : Hashes.fraction(sharedPart.get().id(), state.key())
                        * sharedPart.get().tokens()
                        * weight;
    }
}
