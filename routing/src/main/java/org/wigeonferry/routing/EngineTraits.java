package org.wigeonferry.routing;

import java.util.Map;

/**
 * Capacity and model costs of a service's model engines.
 *
 * <p>Immutable and thread safe.
 *
 * @param slots requests that an engine processes at once
 * @param capacityTokens tokens that fit in an engine's memory
 * @param modelCosts cost per 1,000 generated tokens, by model; only ratios of costs are used
 */
public record EngineTraits(int slots, int capacityTokens, Map<String, Double> modelCosts) {
    /** Relative cost from which a model counts as large. */
    static final double LARGE_MODEL_MIN_RELATIVE_COST = 0.5;

    public EngineTraits {
        modelCosts = Map.copyOf(modelCosts);
    }

    /** Whether some models are large and others small; the most expensive one is always large. */
    boolean hasSmallAndLargeModels() {
        return modelCosts.keySet().stream()
                .anyMatch(model -> relativeCost(model) < LARGE_MODEL_MIN_RELATIVE_COST);
    }

    /**
     * Cost of a model's token relative to the most expensive model's, from 0 to 1; 1 for a model of
     * unknown cost. Serves as an estimate of the work per token.
     */
    public double relativeCost(String model) {
        double maxCost = modelCosts.values().stream().mapToDouble(cost -> cost).max().orElse(0);
        double cost = modelCosts.getOrDefault(model, maxCost);
        return maxCost <= 0 ? 1 : cost / maxCost;
    }
}
