package org.wigeonferry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutStart;
import org.wigeonferry.routing.RollOutState;
import org.wigeonferry.routing.RollOutStatus;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.ServiceTraits;
import org.wigeonferry.routing.TrafficMove;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.routing.WeightedService;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Routers in virtual time that share a store and roll out a release of one service.
 *
 * <p>The store keeps what the routers write; a router that starts reads all of it. Not thread safe.
 */
final class RollOutFleet {
    static final String SERVICE = "desk";
    static final String OLD_RELEASE = "v1";
    static final String NEW_RELEASE = "v2";

    private static final int UPSTREAMS_PER_RELEASE = 4;
    private static final Duration RESTART_TIME = Duration.ofMillis(900);
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(125);
    private static final long ORDER_REVISION = 7;

    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final double newReleaseFailureShare;
    private final Map<String, VirtualRouter> routers = new HashMap<>();
    private final Map<String, RouterReport> reports = new HashMap<>();
    private final List<Long> sendsToNewReleaseNanos = new ArrayList<>();
    private final List<Long> badAnswersNanos = new ArrayList<>();
    private Optional<RollOut> order = Optional.empty();
    private Optional<RollOutStart> start = Optional.empty();
    private Optional<RollOutStatus> status = Optional.empty();
    private Optional<TrafficMove> move = Optional.empty();
    private long lastRevision = ORDER_REVISION;
    private int sends;
    private boolean requestsStopped;

    /**
     * Starts the routers.
     *
     * @param newReleaseFailureShare share of the new release's answers that fail
     */
    RollOutFleet(int routerCount, double newReleaseFailureShare, long seed) {
        this.newReleaseFailureShare = newReleaseFailureShare;
        random = new Random(seed);
        for (int i = 0; i < routerCount; i++) {
            start("router-" + i);
        }
        time.run(Duration.ofSeconds(10));
    }

    void run(Duration duration) {
        time.run(duration);
    }

    /** Orders the roll-out, which has to be decided within a duration. */
    void order(Duration duration) {
        order =
                Optional.of(
                        new RollOut(
                                SERVICE, NEW_RELEASE, duration, ORDER_REVISION, time.nanoTime()));
        for (VirtualRouter router : routers.values()) {
            router.readUpstreams(upstreams(NEW_RELEASE));
            router.readOrder(order.get());
        }
    }

    /** Kills all routers; each starts again a little later. */
    void restartAll() {
        for (String name : List.copyOf(routers.keySet())) {
            routers.remove(name).kill();
            time.after(RESTART_TIME, () -> start(name));
        }
    }

    /** From now on no caller sends requests. */
    void stopRequests() {
        requestsStopped = true;
    }

    boolean requestsStopped() {
        return requestsStopped;
    }

    /** The stored state of the roll-out. */
    Optional<RollOutState> state() {
        return status.map(RollOutStatus::state);
    }

    /** Routers that run. */
    List<VirtualRouter> routers() {
        return List.copyOf(routers.values());
    }

    int sends() {
        return sends;
    }

    /** When requests were sent to the new release. */
    List<Long> sendsToNewReleaseNanos() {
        return sendsToNewReleaseNanos;
    }

    /** When answers of the new release failed. */
    List<Long> badAnswersNanos() {
        return badAnswersNanos;
    }

    boolean nextAnswerFails(String release) {
        return release.equals(NEW_RELEASE) && random.nextDouble() < newReleaseFailureShare;
    }

    void onSend(String release) {
        sends++;
        if (release.equals(NEW_RELEASE)) {
            sendsToNewReleaseNanos.add(time.nanoTime());
        }
    }

    void onBadAnswer() {
        badAnswersNanos.add(time.nanoTime());
    }

    VirtualTime time() {
        return time;
    }

    StoreReporters reporters(String name) {
        return new StoreReporters(
                report -> reports.put(name, report), this::writeStatus, this::writeMove);
    }

    private void start(String name) {
        VirtualRouter router = new VirtualRouter(name, this);
        routers.put(name, router);
        router.readConfiguration(config(), upstreams(OLD_RELEASE));
        if (order.isPresent()) {
            router.readUpstreams(upstreams(NEW_RELEASE));
            router.readOrder(order.get());
        }
        time.after(Duration.ofMillis(100), () -> readStoredState(router));
        router.pollReports(() -> reports);
        router.sendRequests(REQUEST_INTERVAL);
    }

    private void readStoredState(VirtualRouter router) {
        start.ifPresent(router::readStart);
        status.ifPresent(router::readStatus);
        move.ifPresent(router::readMove);
        router.onAllStatusesRead();
    }

    private void writeStatus(RollOut rollOut, RollOutState state, Optional<RollOutStatus> known) {
        if (!known.equals(status)) {
            return;
        }
        lastRevision++;
        if (state == RollOutState.RUNNING) {
            start = Optional.of(new RollOutStart(SERVICE, ORDER_REVISION, rollOut.startNanos()));
            routers.values().forEach(router -> router.readStart(start.get()));
        }
        status = Optional.of(new RollOutStatus(SERVICE, NEW_RELEASE, state, lastRevision));
        routers.values().forEach(router -> router.readStatus(status.get()));
    }

    private void writeMove(RollOut rollOut, Optional<TrafficMove> known, long nowNanos) {
        if (!known.equals(move)) {
            return;
        }
        lastRevision++;
        move = Optional.of(new TrafficMove(SERVICE, rollOut.revision(), lastRevision, nowNanos));
        routers.values().forEach(router -> router.readMove(move.get()));
    }

    private static RoutingConfig config() {
        return RoutingConfig.builder(1)
                .addService(new ServiceTraits(SERVICE, 10, Duration.ZERO, 0, Optional.empty()))
                .addRoute(
                        new Route(
                                SERVICE,
                                "example",
                                "/" + SERVICE + "/",
                                RequestKind.SAFE,
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(1),
                                Duration.ofSeconds(1),
                                2,
                                0,
                                true,
                                List.of(),
                                List.of(new WeightedService(SERVICE, 1))))
                .build();
    }

    private static List<UpstreamInstance> upstreams(String release) {
        List<UpstreamInstance> upstreams = new ArrayList<>();
        for (int i = 0; i < UPSTREAMS_PER_RELEASE; i++) {
            upstreams.add(upstream(release + '-' + i, release));
        }
        return upstreams;
    }

    private static UpstreamInstance upstream(String id, String release) {
        return new UpstreamInstance(
                new Incarnation(id, 1),
                new HostAddress("127.0.0.1", 1),
                SERVICE,
                "zone",
                release,
                64,
                false,
                Duration.ZERO);
    }
}
