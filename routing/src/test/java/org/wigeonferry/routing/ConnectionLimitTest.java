package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.waiting.QueueLimits;

/**
 * Guards against routers that together open more connections than an upstream accepts: in a burst
 * each send has a connection, and the upstream resets those beyond. The upstream accepts 10.
 */
class ConnectionLimitTest {
    private static final long NOW = 100 * Fixtures.NANOS_PER_SECOND;
    private static final int BURST = 30;

    private final RoutingState state = Fixtures.state(Fixtures.config(1), NOW);

    private int placedOfABurst() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW);
        int placed = 0;
        for (int i = 0; i < BURST; i++) {
            Job job = Fixtures.admit(state, Fixtures.request("look"), NOW);
            placed += Fixtures.place(state, job, NOW) instanceof Send ? 1 : 0;
        }
        return placed;
    }

    @Test
    void withoutTheSettingNothingChanges() {
        assertThat(placedOfABurst()).isEqualTo(BURST);
    }

    @Test
    void onlyRouterUsesAllConnections() {
        state.limitConnections();
        assertThat(placedOfABurst()).isEqualTo(10);
    }

    @Test
    void routersDivideTheConnections() {
        state.limitConnections();
        state.setLiveRouters(new LiveRouters("own", Set.of("own", "b", "c", "d"), 1));
        assertThat(placedOfABurst()).isEqualTo(2);
        assertThat(state.connectionShares()).containsValue(2);
    }

    @Test
    void eachRouterMayUseOneConnection() {
        state.limitConnections();
        state.setLiveRouters(new LiveRouters("own", Set.of(), 28));
        assertThat(placedOfABurst()).isEqualTo(1);
    }

    /** With a queue, a burst beyond the connections was refused, although places were free. */
    @Test
    void requestWaitsForAConnectionIfThereIsAQueue() {
        state.limitConnections();
        state.loadAdmission().enable(QueueLimits.withBytes(1 << 20));
        state.setLiveRouters(new LiveRouters("own", Set.of("own", "b", "c", "d"), 1));
        assertThat(placedOfABurst()).isEqualTo(2);
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW);
        assertThat(Fixtures.place(state, job, NOW)).isInstanceOf(Waiting.class);
    }

    @Test
    void upstreamThatDrainsHasNoShare() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW);
        UpstreamInstance a = Fixtures.upstream("a", "desk");
        state.upstreams()
                .put(
                        new UpstreamInstance(
                                a.incarnation(),
                                a.address(),
                                a.service(),
                                a.zone(),
                                a.release(),
                                a.slots(),
                                true,
                                a.coldTimeLeft()),
                        NOW);
        assertThat(state.connectionShares()).isEmpty();
    }
}
