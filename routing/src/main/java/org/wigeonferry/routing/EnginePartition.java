package org.wigeonferry.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Divides the engines of a service between its large models and its small ones.
 *
 * <p>An engine generates one token for each of its requests per step, and a step takes as long as
 * the most expensive model among them needs. So small models are fast only where no large one runs.
 * The division depends only on the configuration and the registered upstreams, so all routers that
 * know the same ones agree on it. Each zone and release with two or more engines has some for large
 * and some for small models. Owned by the control thread.
 */
final class EnginePartition {
    /** Fraction of a group's engines that is assigned to large models. */
    private static final double LARGE_MODEL_ENGINE_FRACTION = 0.7;

    private final Set<Incarnation> forLarge = new HashSet<>();
    private final Set<Incarnation> forSmall = new HashSet<>();

    /** Divides these upstreams anew; draining upstreams are left out. */
    void assignUpstreams(Collection<UpstreamState> states) {
        forLarge.clear();
        forSmall.clear();
        Map<List<String>, List<UpstreamState>> groups =
                states.stream()
                        .filter(UpstreamState::runsLargeAndSmallModels)
                        .filter(state -> !state.instance().draining())
                        .collect(
                                Collectors.groupingBy(
                                        EnginePartition::groupKey,
                                        HashMap::new,
                                        Collectors.toList()));
        groups.values().forEach(this::divideGroup);
    }

    /** Whether the model would run on an engine assigned to models of the other size. */
    boolean wouldMixModelSizes(UpstreamState state, String model) {
        boolean large = state.relativeCost(model) >= EngineTraits.LARGE_MODEL_MIN_RELATIVE_COST;
        Incarnation incarnation = state.instance().incarnation();
        return large ? forSmall.contains(incarnation) : forLarge.contains(incarnation);
    }

    private void divideGroup(List<UpstreamState> group) {
        if (group.size() < 2) {
            return;
        }
        List<Incarnation> byHash =
                group.stream()
                        .map(state -> state.instance().incarnation())
                        .sorted(Comparator.comparingDouble(i -> Hashes.fraction(i.id())))
                        .toList();
        long large = Math.round(LARGE_MODEL_ENGINE_FRACTION * byHash.size());
        int split = (int) Math.max(1, Math.min(byHash.size() - 1, large));
        forLarge.addAll(byHash.subList(0, split));
        forSmall.addAll(byHash.subList(split, byHash.size()));
    }

    private static List<String> groupKey(UpstreamState state) {
        UpstreamInstance upstream = state.instance();
        return List.of(upstream.service(), upstream.release(), upstream.zone());
    }
}
