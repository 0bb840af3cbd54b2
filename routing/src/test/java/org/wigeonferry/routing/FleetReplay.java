package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Many routers in four zones before the same upstreams, on a virtual clock and without a network.
 *
 * <p>Used by one thread.
 */
final class FleetReplay {
    static final int ROUTERS = 28;
    static final List<String> ZONES = List.of("z0", "z1", "z2", "z3");

    private static final Duration COLD_TIME = Duration.ofSeconds(15);
    private static final long REPORT_INTERVAL_NANOS = 200_000_000;
    private static final long FORWARD_DELAY_NANOS = 20_000_000;
    private static final long DATAGRAM_NANOS = 1_000_000;
    private static final long ZONE_NANOS = 900_000;
    private static final int LARGE_SEND_TOKENS = 500;

    private final boolean withPace;
    private final boolean forwarding;
    private final Map<String, ReplayUpstream> upstreams = new HashMap<>();
    private final List<RoutingState> routers = new ArrayList<>();
    private final PriorityQueue<ReplayEvent> events = new PriorityQueue<>();
    private final List<ReplayedRequest> requests = new ArrayList<>();
    private long now;
    private long sequence;
    private int nextRequest;

    /**
     * Creates the fleet.
     *
     * @param withPace whether upstreams report a pace
     * @param forwarding whether the routers of a zone forward received loads to each other
     */
    FleetReplay(boolean withPace, boolean forwarding, List<ReplayUpstream> fleet, long startNanos) {
        this.withPace = withPace;
        this.forwarding = forwarding;
        fleet.forEach(upstream -> upstreams.put(upstream.instance().id(), upstream));
        Set<String> names =
                IntStream.range(0, ROUTERS).mapToObj(i -> "r" + i).collect(Collectors.toSet());
        for (int i = 0; i < ROUTERS; i++) {
            int router = i;
            RoutingState state =
                    new RoutingState(
                            zoneOf(i),
                            Fixtures.LIMITS,
                            new Freshness(Duration.ofSeconds(4), Duration.ofMillis(400)),
                            new ModelCascade(50),
                            () -> 0.5,
                            new LiveRouters("r" + i, names, ROUTERS));
            state.updateConfig(Fixtures.config(1));
            state.rollOuts().onStoredRecordRead();
            fleet.forEach(upstream -> state.upstreams().put(upstream.instance(), startNanos));
            state.receivedLoads()
                    .setChangeListener(() -> at(now, FORWARD_DELAY_NANOS, () -> report(router)));
            routers.add(state);
            at(startNanos, REPORT_INTERVAL_NANOS * i / ROUTERS, () -> reportRegularly(router));
        }
    }

    private static String zoneOf(int router) {
        return ZONES.get(router % ZONES.size());
    }

    List<RoutingState> routers() {
        return routers;
    }

    List<ReplayedRequest> requests() {
        return requests;
    }

    /** Adds requests of one kind, at random times and routers. */
    void addTraffic(ReplayTraffic traffic, Random random, long fromNanos, long toNanos) {
        long time = fromNanos;
        while (time < toNanos) {
            time += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / traffic.perSecond());
            int router = random.nextInt(ROUTERS);
            at(time, 0, () -> send(routers.get(router), router, traffic));
        }
    }

    /** Starts a new, cold incarnation of each upstream of a zone. */
    void restartZoneCold(String zone) {
        for (ReplayUpstream upstream : upstreams.values()) {
            if (upstream.instance().zone().equals(zone)) {
                upstream.restartCold(COLD_TIME);
                routers.forEach(router -> router.upstreams().put(upstream.instance(), now));
            }
        }
    }

    /** Plays all that is due until a time. */
    void run(long untilNanos) {
        while (!events.isEmpty() && events.peek().nanos() <= untilNanos) {
            ReplayEvent event = events.remove();
            now = event.nanos();
            event.action().run();
        }
    }

    private void at(long fromNanos, long delayNanos, Runnable action) {
        sequence++;
        events.add(new ReplayEvent(fromNanos + delayNanos, sequence, action));
    }

    private void send(RoutingState router, int number, ReplayTraffic traffic) {
        Fixtures.confirmConfig(router, now);
        Job job = Fixtures.admit(router, traffic.request("id" + nextRequest++), now);
        PlacementResult result = Fixtures.place(router, job, now);
        if (!(result instanceof Send send)) {
            requests.add(new ReplayedRequest(traffic.name(), now, Optional.empty(), 0, false));
            return;
        }
        ReplayUpstream upstream = upstreams.get(send.upstream().id());
        long oneWay = send.upstream().zone().equals(zoneOf(number)) ? 0 : ZONE_NANOS;
        boolean slow = upstream.isSlow(now + oneWay);
        long workNanos =
                traffic.fixedNanos()
                        + (long) (traffic.nanosPerToken() * send.weightedUncachedTokens());
        long firstByte = upstream.accept(workNanos, now + oneWay);
        requests.add(
                new ReplayedRequest(
                        traffic.name(), now, Optional.of(send), firstByte + oneWay - now, slow));
        at(
                firstByte,
                oneWay,
                () -> {
                    ReportedLoad load = upstream.report(withPace, firstByte);
                    router.onResponseHeaders(send, Optional.of(load), now);
                    router.onSendEnd(
                            job,
                            "content",
                            Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED),
                            now);
                });
        if (send.weightedUncachedTokens() >= LARGE_SEND_TOKENS) {
            report(number);
        }
    }

    private void reportRegularly(int router) {
        report(router);
        at(now, REPORT_INTERVAL_NANOS, () -> reportRegularly(router));
    }

    private void report(int from) {
        List<OwnLoad> loads = routers.get(from).ownLoads();
        List<AgedLoad> received = routers.get(from).receivedLoads().take(now);
        sequence++;
        long number = sequence;
        for (int to = 0; to < ROUTERS; to++) {
            if (to == from || !zoneOf(to).equals(zoneOf(from))) {
                continue;
            }
            RoutingState peer = routers.get(to);
            at(
                    now,
                    DATAGRAM_NANOS,
                    () -> {
                        peer.peerLoads().apply("r" + from, number, loads, now);
                        if (forwarding) {
                            peer.upstreams().recordForwardedLoads(received, now);
                        }
                    });
        }
    }
}
