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
 * <p>An engine makes a token for all its requests in one step, which takes as long as the dearest
 * model among them needs. So small models are fast only where no large one runs. The division
 * depends on the upstreams' ids alone, so that all entries that know the same upstreams agree on
 * it; each zone and release has engines of both kinds if it has two or more. Owned by the control
 * thread.
 */
final class EnginePartition {
    /** Part of the engines that large models get. */
    private static final double LARGE_PART = 0.7;

    private final Set<Incarnation> forLarge = new HashSet<>();
    private final Set<Incarnation> forSmall = new HashSet<>();

    /** Divides the upstreams anew. */
    void assignUpstreams(Collection<UpstreamState> states) {
        forLarge.clear();
        forSmall.clear();
        Map<List<String>, List<UpstreamState>> groups =
                states.stream()
                        .filter(UpstreamState::runsLargeAndSmallModels)
                        .filter(state -> !state.instance().draining())
                        .collect(
                                Collectors.groupingBy(
                                        EnginePartition::group, HashMap::new, Collectors.toList()));
        groups.values().forEach(this::divideGroup);
    }

    /** Whether a model's work would share an engine with work of the other kind. */
    boolean wouldMixModelSizes(UpstreamState state, String model) {
        boolean large = state.relativeCost(model) >= EngineTraits.LARGE_MODEL_MIN_COST_SHARE;
        Incarnation incarnation = state.instance().incarnation();
        return large ? forSmall.contains(incarnation) : forLarge.contains(incarnation);
    }

    private void divideGroup(List<UpstreamState> group) {
        if (group.size() < 2) {
            return;
        }
        List<Incarnation> ordered =
                group.stream()
                        .map(state -> state.instance().incarnation())
                        .sorted(Comparator.comparingDouble(i -> Hashes.fraction(i.id())))
                        .toList();
        long large = Math.round(LARGE_PART * ordered.size());
        int split = (int) Math.max(1, Math.min(ordered.size() - 1, large));
        forLarge.addAll(ordered.subList(0, split));
        forSmall.addAll(ordered.subList(split, ordered.size()));
    }

    private static List<String> group(UpstreamState state) {
        UpstreamInstance upstream = state.instance();
        return List.of(upstream.service(), upstream.release(), upstream.zone());
    }
}
