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
    /** Models that cost at least this part of the dearest one are large. */
    static final double LARGE_MODEL_MIN_COST_SHARE = 0.5;

    public EngineTraits {
        modelCosts = Map.copyOf(modelCosts);
    }

    /** Whether some models are large and others small. */
    boolean hasSmallAndLargeModels() {
        return modelCosts.keySet().stream()
                .anyMatch(model -> relativeCost(model) < LARGE_MODEL_MIN_COST_SHARE);
    }

    /** Work that a token is for a model, as a share of the dearest model's, judged by cost. */
    public double relativeCost(String model) {
        double dearest = modelCosts.values().stream().mapToDouble(cost -> cost).max().orElse(0);
        double cost = modelCosts.getOrDefault(model, dearest);
        return dearest <= 0 ? 1 : cost / dearest;
    }
}
