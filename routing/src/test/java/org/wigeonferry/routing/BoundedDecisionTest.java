package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** With the upstreams of the target size, a decision compared all of them. */
class BoundedDecisionTest {
    private static final int UPSTREAMS = 1900;

    /** Upstreams of which a decision may ask whether the rules allow them. */
    private static final int MAX_RULE_CHECKS = 200;

    private static final int DECISIONS = 500;
    private static final ReplayTraffic PROMPTS =
            new ReplayTraffic("prompt", "chat", 1, 0, 0, 2000, 1000);

    private final long nowNanos = 100 * Fixtures.NANOS_PER_SECOND;
    private final RoutingState state = Fixtures.state(Fixtures.config(1), nowNanos);
    private final UpstreamSelector selector =
            new UpstreamSelector(Fixtures.ZONE, state.upstreams(), state.peerLoads());

    private void addUpstreams() {
        for (int i = 0; i < UPSTREAMS; i++) {
            state.upstreams().put(Fixtures.upstream("e" + i, "model"), nowNanos);
        }
        ReportedLoad load = new ReportedLoad(1, 0, 8, OptionalInt.of(100));
        state.upstreams()
                .recordForwardedLoads(
                        List.of(new AgedLoad(Hashes.key("e0"), load, Duration.ZERO)), nowNanos);
    }

    private Optional<SelectedUpstream> select(String id, UpstreamRule rule) {
        Job job = Fixtures.admit(state, PROMPTS.request(id), nowNanos);
        return selector.select(job, Optional.of("large"), rule, nowNanos);
    }

    @Test
    void decisionComparesABoundedNumberOfUpstreams() {
        addUpstreams();
        for (int i = 0; i < DECISIONS; i++) {
            AtomicInteger checks = new AtomicInteger();
            assertThat(select("id" + i, (upstream, job, now) -> checks.incrementAndGet() > 0))
                    .isPresent();
            assertThat(checks.get()).isLessThanOrEqualTo(MAX_RULE_CHECKS);
        }
    }

    /** A bound on the comparison must not hide the only upstream that may be used. */
    @Test
    void onlyUpstreamThatIsAllowedIsFound() {
        addUpstreams();
        for (int i = 0; i < UPSTREAMS; i += 97) {
            String only = "e" + i;
            Optional<SelectedUpstream> selected =
                    select("id" + i, (upstream, job, now) -> upstream.instance().id().equals(only));
            assertThat(selected.map(s -> s.state().instance().id())).contains(only);
        }
    }

    /** All routers must find the upstreams that have a shared prompt part cached. */
    @Test
    void requestsWithASharedPartCompareTheSameUpstreams() {
        addUpstreams();
        Set<String> ofOne = compared("one");
        for (int i = 0; i < DECISIONS; i++) {
            Set<String> common = compared("id" + i);
            common.retainAll(ofOne);
            assertThat(common.size()).isGreaterThanOrEqualTo(CandidateSample.MAX_OWN_ZONE / 2);
        }
    }

    private Set<String> compared(String id) {
        Set<String> ids = new HashSet<>();
        select(id, (upstream, job, now) -> ids.add(upstream.instance().id()) || true);
        return ids;
    }
}
