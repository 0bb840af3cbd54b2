package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.waiting.QueueLimits;

/**
 * Guards against requests that are placed on a full upstream, or that wait for one although they
 * may not be sent any more.
 */
class RoomOfUpstreamsTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;

    /** Slots of the fixtures' upstreams, and their short queue. */
    private static final int PLACES = 12;

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);
    private int requests;

    private Job admit() {
        requests++;
        return Fixtures.admit(
                state, Fixtures.request("book", "id" + requests, Optional.empty()), NOW_NANOS);
    }

    private PlacementResult place(Job job) {
        return Fixtures.place(state, job, NOW_NANOS);
    }

    private void enable() {
        state.loadAdmission().enable(QueueLimits.withBytes(1 << 20));
    }

    private List<Send> fill(String upstream) {
        state.upstreams().put(Fixtures.upstream(upstream, "desk"), NOW_NANOS);
        List<Send> sends = new ArrayList<>();
        for (int i = 0; i < PLACES; i++) {
            sends.add((Send) place(admit()));
        }
        return sends;
    }

    @Test
    void requestWaitsOnceTheUpstreamIsFull() {
        enable();
        fill("a");
        assertThat(place(admit())).isInstanceOf(Waiting.class);
    }

    @Test
    void withoutQueueTheUpstreamIsNeverFull() {
        fill("a");
        assertThat(place(admit())).isInstanceOf(Send.class);
    }

    @Test
    void placesOfOtherRoutersCount() {
        enable();
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        state.peerLoads()
                .apply("peer", 1, List.of(new OwnLoad(Hashes.key("a"), 0, PLACES, 0)), NOW_NANOS);
        Job job = admit();
        assertThat(place(job)).isInstanceOf(Waiting.class);
        state.peerLoads().expire(NOW_NANOS + 2 * Fixtures.NANOS_PER_SECOND);
        assertThat(place(job)).isInstanceOf(Send.class);
    }

    @Test
    void keyRevokedWhileTheRequestWaits() {
        enable();
        fill("a");
        Job job = admit();
        place(job);
        List<String> rechecks = new ArrayList<>();
        state.loadAdmission().setListeners(() -> {}, () -> rechecks.add("recheck"), j -> {});
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(rechecks).hasSize(1);
        Refused refused = (Refused) place(job);
        assertThat(refused.cause().neverRan()).isTrue();
    }

    @Test
    void drainingUpstreamIsNotWaitedFor() {
        enable();
        fill("a");
        Job job = admit();
        place(job);
        UpstreamInstance known = Fixtures.upstream("a", "desk");
        state.upstreams()
                .put(
                        new UpstreamInstance(
                                known.incarnation(),
                                known.address(),
                                known.service(),
                                known.zone(),
                                known.release(),
                                known.slots(),
                                true,
                                known.coldTimeLeft()),
                        NOW_NANOS);
        assertThat(((Refused) place(job)).cause()).isEqualTo(RefusalCause.NO_UPSTREAM);
    }

    /** Dropping an answer while requests wait would send its request to the end of the queue. */
    @Test
    void answersOfLowConfidenceAreDeliveredWhileRequestsWait() {
        state.upstreams().put(Fixtures.upstream("m", "model"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("chat"), NOW_NANOS);
        assertThat(((Send) place(job)).minConfidence()).isPositive();
        enable();
        OwnLoad full = new OwnLoad(Hashes.key("m"), 0, PLACES, 0);
        state.peerLoads().apply("peer", 1, List.of(full), NOW_NANOS);
        Job waiting =
                Fixtures.admit(state, Fixtures.request("chat", "w", Optional.empty()), NOW_NANOS);
        assertThat(place(waiting)).isInstanceOf(Waiting.class);
        state.peerLoads().expire(NOW_NANOS + 2 * Fixtures.NANOS_PER_SECOND);
        assertThat(((Send) place(waiting)).minConfidence()).isZero();
    }

    /** A router of another zone has a part of an engine, and none of most engines. */
    @Test
    void routersOfOtherZonesKeepToTheirGrants() {
        int total = 0;
        Set<String> names = Set.of("r0", "r1", "r2", "r3", "r4", "r5");
        for (String name : names) {
            RoutingState router = Fixtures.state(Fixtures.config(7), NOW_NANOS);
            router.loadAdmission().enable(QueueLimits.withBytes(1 << 20));
            router.setLiveRouters(new LiveRouters(name, names, 1));
            UpstreamInstance known = Fixtures.upstream("m", "model");
            router.upstreams()
                    .put(
                            new UpstreamInstance(
                                    known.incarnation(),
                                    known.address(),
                                    known.service(),
                                    "elsewhere",
                                    known.release(),
                                    known.slots(),
                                    false,
                                    known.coldTimeLeft()),
                            NOW_NANOS);
            for (int i = 0; i < PLACES; i++) {
                Job job =
                        Fixtures.admit(
                                router,
                                Fixtures.request("chat", name + i, Optional.empty()),
                                NOW_NANOS);
                total += Fixtures.place(router, job, NOW_NANOS) instanceof Send ? 1 : 0;
            }
        }
        assertThat(total).isBetween(1, PLACES / 4);
    }
}
