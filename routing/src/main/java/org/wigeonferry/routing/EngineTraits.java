package org.wigeonferry.routing;

import java.util.Map;

/**
 * What the model servers of a service can hold.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots requests processed at once
 * @param capacityTokens tokens that fit in a server's memory
 * @param modelCosts cost per 1,000 generated tokens, by model
 */
public record EngineTraits(int slots, int capacityTokens, Map<String, Double> modelCosts) {
    public EngineTraits {
        modelCosts = Map.copyOf(modelCosts);
    }
}
