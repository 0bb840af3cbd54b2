package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.Freshness;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.ModelCascade;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RoutingLimits;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.Upstream;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

class RouterControlTest {
    private static final Duration GRACE = Duration.ofSeconds(2);
    private static final String ID = "a";

    private final VirtualTime time = new VirtualTime();
    private final VirtualControl control = new VirtualControl(time);
    private final List<EntryNote> published = new ArrayList<>();
    private RouterControl router;

    @BeforeEach
    void start() {
        RoutingLimits limits =
                new RoutingLimits(
                        1, 50, Duration.ofSeconds(10), 1, 0, 0.1, Duration.ofSeconds(5), GRACE);
        RoutingState state =
                new RoutingState(
                        "zone",
                        limits,
                        new Freshness(Duration.ofMinutes(5), Duration.ofSeconds(5)),
                        new ModelCascade(0),
                        () -> 0.5,
                        1);
        router =
                new RouterControl("router", control, state, published::add, (order, next, s) -> {});
        router.start();
    }

    @Test
    void upstreamThatLeavesJustAfterTheStartIsGoneAtOnce() {
        router.store(true);
        router.upstream(upstream());
        time.run(Duration.ofMillis(400));
        router.upstreamGone(ID);
        assertThat(router.state().upstreams().upstream(ID)).isEmpty();
    }

    @Test
    void upstreamThatLeavesAfterABrokenConnectionIsGoneAtOnce() {
        router.store(true);
        router.upstream(upstream());
        time.run(Duration.ofMillis(1900));
        router.store(false);
        time.run(Duration.ofMillis(80));
        router.store(true);
        router.upstreamGone(ID);
        assertThat(router.state().upstreams().upstream(ID)).isEmpty();
    }

    @Test
    void upstreamWhoseEntryLapsedInAnOutageIsKeptForTheGrace() {
        router.store(true);
        router.upstream(upstream());
        router.store(false);
        time.run(Duration.ofSeconds(4));
        router.store(true);
        router.upstreamGone(ID);
        time.run(GRACE.minusMillis(600));
        assertThat(router.state().upstreams().upstream(ID)).isPresent();
        time.run(Duration.ofMillis(1200));
        assertThat(router.state().upstreams().upstream(ID)).isEmpty();
    }

    @Test
    void firstNoteIsPublishedSoonAndCalmTimesNeedFew() {
        router.store(true);
        time.run(Duration.ofMillis(600));
        assertThat(published).hasSize(1);
        time.run(Duration.ofSeconds(60));
        assertThat(published).hasSizeBetween(8, 11);
    }

    @Test
    void rollOutIsToldOfEachSecond() {
        router.store(true);
        router.ordered(new RollOut("desk", "r2", Duration.ofSeconds(20), 7, 0));
        time.run(Duration.ofSeconds(10));
        assertThat(published).hasSizeBetween(8, 11);
    }

    private static Upstream upstream() {
        return new Upstream(
                new Incarnation(ID, 1),
                new HostAddress("127.0.0.1", 1),
                "desk",
                "zone",
                "r1",
                4,
                false,
                Duration.ZERO);
    }
}
