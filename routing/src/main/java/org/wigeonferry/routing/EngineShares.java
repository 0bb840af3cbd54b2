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
final class EngineShares {
    /** Part of the engines that large models get. */
    private static final double LARGE_PART = 0.7;

    private final Set<Incarnation> forLarge = new HashSet<>();
    private final Set<Incarnation> forSmall = new HashSet<>();

    /** Divides the upstreams anew. */
    void divide(Collection<UpstreamState> states) {
        forLarge.clear();
        forSmall.clear();
        Map<List<String>, List<UpstreamState>> groups =
                states.stream()
                        .filter(UpstreamState::runsModelsOfBothKinds)
                        .filter(state -> !state.description().leaving())
                        .collect(
                                Collectors.groupingBy(
                                        EngineShares::group, HashMap::new, Collectors.toList()));
        groups.values().forEach(this::divideGroup);
    }

    /** Whether a model's work would share an engine with work of the other kind. */
    boolean mixes(UpstreamState state, String model) {
        boolean large = state.workShare(model) >= EngineTraits.LARGE_WORK;
        Incarnation incarnation = state.description().incarnation();
        return large ? forSmall.contains(incarnation) : forLarge.contains(incarnation);
    }

    private void divideGroup(List<UpstreamState> group) {
        if (group.size() < 2) {
            return;
        }
        List<Incarnation> ordered =
                group.stream()
                        .map(state -> state.description().incarnation())
                        .sorted(Comparator.comparingDouble(i -> Hashes.fraction(i.id())))
                        .toList();
        long large = Math.round(LARGE_PART * ordered.size());
        int split = (int) Math.max(1, Math.min(ordered.size() - 1, large));
        forLarge.addAll(ordered.subList(0, split));
        forSmall.addAll(ordered.subList(split, ordered.size()));
    }

    private static List<String> group(UpstreamState state) {
        Upstream upstream = state.description();
        return List.of(upstream.service(), upstream.release(), upstream.zone());
    }
}
