package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an upstream that gets more requests from all routers together than the limit that
 * it names. The load: many routers, each with more requests than the upstream takes from all.
 */
class RequestRateLimitFleetTest {
    private static final long START_NANOS = 100 * Fixtures.NANOS_PER_SECOND;
    private static final long WINDOW_NANOS = 4 * Fixtures.NANOS_PER_SECOND;
    private static final long STEP_NANOS = Fixtures.NANOS_PER_SECOND / 50;
    private static final Incarnation LIMITED = new Incarnation("limited", 1);

    private final List<RoutingState> routers = new ArrayList<>();

    private void startRouters(int count) {
        Set<String> names =
                IntStream.range(0, count).mapToObj(i -> "r" + i).collect(Collectors.toSet());
        for (String name : names) {
            RoutingState state = Fixtures.state(Fixtures.config(1), START_NANOS);
            state.setLiveRouters(new LiveRouters(name, names, 1));
            state.upstreams().put(Fixtures.upstream(LIMITED.id(), "desk"), START_NANOS);
            routers.add(state);
        }
    }

    private static UpstreamAnnouncement limit(double requestsPerSecond) {
        return new UpstreamAnnouncement(
                false, Optional.empty(), OptionalDouble.of(requestsPerSecond));
    }

    private static PlacementResult place(RoutingState router, long nowNanos) {
        Fixtures.confirmConfig(router, nowNanos);
        RoutedRequest request = Fixtures.request("book", "id" + nowNanos, Optional.empty());
        return Fixtures.place(router, Fixtures.admit(router, request, nowNanos), nowNanos);
    }

    /** Sends at random for a time; each send is answered with the limit. */
    private List<Long> sendTimes(double requestsPerSecond, double chance, int seconds) {
        Random random = new Random(34);
        List<Long> sends = new ArrayList<>();
        long end = START_NANOS + seconds * Fixtures.NANOS_PER_SECOND;
        for (long now = START_NANOS; now < end; now += STEP_NANOS) {
            for (RoutingState router : routers) {
                if (random.nextDouble() < chance && place(router, now) instanceof Send) {
                    sends.add(now);
                    router.upstreams().notices().record(LIMITED, limit(requestsPerSecond), now);
                }
            }
        }
        return sends;
    }

    private static long mostInWindow(List<Long> times) {
        return times.stream()
                .mapToLong(
                        from ->
                                times.stream()
                                        .filter(t -> t >= from && t < from + WINDOW_NANOS)
                                        .count())
                .max()
                .orElse(0);
    }

    @ParameterizedTest
    @CsvSource({"4, 0", "4, 1", "4, 2.7", "4, 20", "8, 1", "8, 3.5", "33, 0.5", "33, 1", "33, 12"})
    void limitHoldsForAllRoutersTogether(int routerCount, double requestsPerSecond) {
        startRouters(routerCount);
        routers.forEach(
                router ->
                        router.upstreams()
                                .notices()
                                .record(LIMITED, limit(requestsPerSecond), START_NANOS));
        List<Long> sends = sendTimes(requestsPerSecond, 0.3, 30);
        assertThat(mostInWindow(sends)).isLessThanOrEqualTo((long) (6 * requestsPerSecond + 5));
        // The limit is used: at least two thirds of what the upstream takes.
        assertThat(sends).hasSizeGreaterThanOrEqualTo((int) (20 * requestsPerSecond));
    }

    @Test
    void limitThatIsNamedNoMoreEnds() {
        startRouters(1);
        UpstreamNotices notices = routers.get(0).upstreams().notices();
        notices.record(LIMITED, limit(0), START_NANOS);
        sendTimes(0, 1, 1);
        long now = START_NANOS + Fixtures.NANOS_PER_SECOND;
        assertThat(place(routers.get(0), now)).isInstanceOf(Refused.class);
        notices.record(LIMITED, UpstreamAnnouncement.NONE, now);
        assertThat(place(routers.get(0), now)).isInstanceOf(Send.class);
    }

    @Test
    void newIncarnationHasNoLimit() {
        startRouters(1);
        RoutingState router = routers.get(0);
        router.upstreams().notices().record(LIMITED, limit(0), START_NANOS);
        sendTimes(0, 1, 1);
        UpstreamInstance known = Fixtures.upstream(LIMITED.id(), "desk");
        router.upstreams()
                .put(
                        new UpstreamInstance(
                                new Incarnation(LIMITED.id(), 2),
                                known.address(),
                                known.service(),
                                known.zone(),
                                known.release(),
                                known.slots(),
                                false,
                                Duration.ZERO),
                        START_NANOS);
        assertThat(place(router, START_NANOS + STEP_NANOS)).isInstanceOf(Send.class);
    }

    /** A request that finds no room is refused at once, with the time at which there is some. */
    @Test
    void refusalSaysWhenThereIsRoom() {
        startRouters(1);
        RoutingState router = routers.get(0);
        router.upstreams().notices().record(LIMITED, limit(0), START_NANOS);
        sendTimes(0, 1, 1);
        long now = START_NANOS + Fixtures.NANOS_PER_SECOND;
        Refused refused = (Refused) place(router, now);
        assertThat(refused.cause()).isEqualTo(RefusalCause.NO_UPSTREAM);
        long returnNanos = now + refused.retryAfter().orElseThrow().toNanos();
        assertThat(place(router, returnNanos - STEP_NANOS)).isInstanceOf(Refused.class);
        assertThat(place(router, returnNanos)).isInstanceOf(Send.class);
    }

    /** Routers whose share is zero learn of the end of a limit, but not all in one moment. */
    @Test
    void routersWithoutShareTryOneAfterTheOther() {
        startRouters(33);
        routers.forEach(
                router -> router.upstreams().notices().record(LIMITED, limit(0.1), START_NANOS));
        List<Long> sends = sendTimes(0.1, 1, 61);
        assertThat(sends).hasSizeGreaterThan(routers.size());
        assertThat(mostInWindow(sends)).isLessThanOrEqualTo(5 + 6);
        assertThat(Collections.max(sends)).isLessThan(START_NANOS + 61 * Fixtures.NANOS_PER_SECOND);
    }
}
