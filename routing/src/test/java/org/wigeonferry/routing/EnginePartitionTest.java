package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class EnginePartitionTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;
    private static final List<String> IDS = List.of("a", "b", "c", "d", "e", "f", "g", "h", "i");

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);

    @Test
    void zoneWithTwoEnginesHasOneForEachModelSize() {
        putUpstreams(IDS.subList(0, 2));
        assertThat(enginesFor("small")).hasSize(1);
        assertThat(enginesFor("large")).hasSize(1);
    }

    /** 70 % of nine engines, rounded, are six. */
    @Test
    void mostEnginesAreForLargeModels() {
        putUpstreams(IDS);
        assertThat(enginesFor("large")).hasSize(6);
        assertThat(enginesFor("small")).hasSize(3).doesNotContainAnyElementsOf(enginesFor("large"));
    }

    @Test
    void loneEngineServesBothModelSizes() {
        putUpstreams(IDS.subList(0, 1));
        assertThat(enginesFor("small")).isEqualTo(enginesFor("large")).hasSize(1);
    }

    @Test
    void routersAgreeWhateverTheOrderInWhichTheyLearnedOfTheEngines() {
        putUpstreams(IDS);
        Set<String> forSmall = enginesFor("small");
        RoutingState other = Fixtures.state(Fixtures.config(7), NOW_NANOS);
        for (int i = IDS.size() - 1; i >= 0; i--) {
            other.upstreams().put(Fixtures.upstream(IDS.get(i), "model"), NOW_NANOS);
        }
        assertThat(enginesFor(other, "small")).isEqualTo(forSmall);
    }

    @Test
    void removedEngineIsReplacedInThePartition() {
        putUpstreams(IDS.subList(0, 3));
        String small = enginesFor("small").iterator().next();
        state.upstreams().remove(small, NOW_NANOS);
        assertThat(enginesFor("small")).hasSize(1).doesNotContain(small);
    }

    @Test
    void requestsForASmallModelGoToEnginesForSmallModels() {
        putUpstreams(IDS);
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 30; i++) {
            RoutedRequest request = Fixtures.request("chat", "id" + i, Optional.empty());
            Job job = Fixtures.admit(state, request, NOW_NANOS);
            Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
            used.add(send.upstream().id());
        }
        assertThat(enginesFor("small")).containsAll(used);
    }

    @Test
    void upstreamsKnownBeforeTheConfigurationArePartitionedToo() {
        RoutingState unconfigured =
                new RoutingState(
                        Fixtures.ZONE,
                        Fixtures.LIMITS,
                        state.freshness(),
                        new ModelCascade(50),
                        () -> 0,
                        new LiveRouters("own", Set.of(), 1));
        IDS.forEach(id -> unconfigured.upstreams().put(Fixtures.upstream(id, "model"), NOW_NANOS));
        assertThat(enginesFor(unconfigured, "small")).hasSize(IDS.size());
        unconfigured.updateConfig(Fixtures.config(7));
        assertThat(enginesFor(unconfigured, "small")).hasSize(3);
    }

    private void putUpstreams(List<String> ids) {
        ids.forEach(id -> state.upstreams().put(Fixtures.upstream(id, "model"), NOW_NANOS));
    }

    private Set<String> enginesFor(String model) {
        return enginesFor(state, model);
    }

    private static Set<String> enginesFor(RoutingState state, String model) {
        Set<String> engines = new HashSet<>();
        EnginePartition partition = state.upstreams().enginePartition();
        for (UpstreamState upstream : state.upstreams().upstreamStates()) {
            if (!partition.wouldMixModelSizes(upstream, model)) {
                engines.add(upstream.instance().id());
            }
        }
        return engines;
    }
}
