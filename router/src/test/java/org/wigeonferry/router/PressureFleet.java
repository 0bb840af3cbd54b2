package org.wigeonferry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.Account;
import org.wigeonferry.routing.EngineTraits;
import org.wigeonferry.routing.Freshness;
import org.wigeonferry.routing.Incarnation;
import org.wigeonferry.routing.LiveRouters;
import org.wigeonferry.routing.ModelCascade;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.RequestKind;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingConfigBuilder;
import org.wigeonferry.routing.RoutingLimits;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.ServiceTraits;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.routing.WeightedService;
import org.wigeonferry.routing.waiting.QueueLimits;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Routers of two zones before engines that crash when they hold too much, in virtual time. Reports
 * between the routers of a zone are up to 200 ms old, and can be lost; those between zones do not
 * exist.
 */
final class PressureFleet {
    static final int ENGINES_PER_ZONE = 3;
    static final int ACCOUNTS = 10;
    static final Duration OBJECTIVE = Duration.ofMillis(1500);
    static final long CAPACITY_TOKENS = 60_000;

    /** Requests per second that the slots of all engines serve. */
    static final int CAPACITY_PER_SECOND = 230;

    private static final int ROUTERS_PER_ZONE = 3;
    private static final int SLOTS = 16;
    private static final List<String> ZONES = List.of("zone-a", "zone-b");

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(5);
    private final Map<String, PressureEngine> engines = new LinkedHashMap<>();
    private final List<PressureRouter> routers = new ArrayList<>();
    private final Map<PressureRouter, String> zones = new LinkedHashMap<>();
    private final Set<PressureRouter> cutOff = new HashSet<>();
    private final PressureTally tally = new PressureTally();
    private final boolean callersReturn;
    private int requests;

    /**
     * Starts a fleet.
     *
     * @param queue whether requests wait for room
     * @param callersReturn whether a refused caller sends the request again, when it is told to
     */
    PressureFleet(boolean queue, boolean callersReturn) {
        this.callersReturn = callersReturn;
        Set<String> names = new HashSet<>();
        for (String zone : ZONES) {
            for (int i = 0; i < ENGINES_PER_ZONE; i++) {
                engines.put(zone + "-e" + i, new PressureEngine(time, SLOTS, CAPACITY_TOKENS));
            }
            for (int i = 0; i < ROUTERS_PER_ZONE; i++) {
                names.add(zone + "-r" + i);
            }
        }
        names.stream().sorted().forEach(name -> addRouter(name, names, queue));
    }

    PressureTally tally() {
        return tally;
    }

    List<PressureRouter> routers() {
        return routers;
    }

    PressureEngine engine(String id) {
        return engines.get(id);
    }

    List<PressureEngine> engines() {
        return List.copyOf(engines.values());
    }

    int crashes() {
        return engines.values().stream().mapToInt(PressureEngine::crashes).sum();
    }

    long mostHeldTokens() {
        return engines.values().stream().mapToLong(PressureEngine::mostHeldTokens).max().orElse(0);
    }

    void run(Duration length) {
        time.run(length);
    }

    void after(Duration delay, Runnable task) {
        time.after(delay, task);
    }

    /** Sends requests of an account at random times for as long as given, from now on. */
    void offer(String account, double perSecond, Duration length) {
        long end = time.nanoTime() + length.toNanos();
        offerUntil(account, perSecond, end);
    }

    /** Sends requests of all accounts, with this sum. */
    void offerAll(double perSecond, Duration length) {
        for (int i = 0; i < ACCOUNTS; i++) {
            offer("a" + i, perSecond / ACCOUNTS, length);
        }
    }

    /** Ends a router without warning: its connections are lost. */
    void kill(PressureRouter router) {
        router.kill();
        engines.values().forEach(engine -> engine.dropRequestsOf(router));
    }

    /** Loses all reports from and to a router from now on. */
    void cutOff(PressureRouter router) {
        cutOff.add(router);
    }

    /** As the store shows them: a router that ended is known for some time. */
    int liveRoutersInZoneOf(PressureRouter router) {
        return (int) zones.values().stream().filter(zones.get(router)::equals).count();
    }

    void report(PressureRouter from, List<OwnLoad> loads) {
        for (PressureRouter to : routers) {
            boolean linked =
                    to != from
                            && zones.get(to).equals(zones.get(from))
                            && !cutOff.contains(from)
                            && !cutOff.contains(to);
            if (linked) {
                time.after(
                        Duration.ofMillis(1),
                        () -> {
                            if (to.isAlive()) {
                                to.onPeerReport(from.name(), loads);
                            }
                        });
            }
        }
    }

    void onFirstByte(PressureCall call) {
        long elapsed = time.nanoTime() - call.firstNanos();
        tally.onAnswer(call.account(), elapsed <= OBJECTIVE.toNanos());
    }

    void onRefused(PressureCall call, Refused refused, long waitedNanos) {
        tally.onRefusal(refused.cause(), waitedNanos);
        if (callersReturn && refused.cause().neverRan()) {
            // The fixed time of Refusals where the decision names none.
            Duration delay = refused.retryAfter().orElse(Duration.ofMillis(300));
            time.after(delay, () -> send(newCall(call.account(), time.nanoTime())));
        }
    }

    private void offerUntil(String account, double perSecond, long endNanos) {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
        if (time.nanoTime() + gap > endNanos) {
            return;
        }
        time.after(
                Duration.ofNanos(gap),
                () -> {
                    send(newCall(account, time.nanoTime()));
                    offerUntil(account, perSecond, endNanos);
                });
    }

    private void send(PressureCall call) {
        List<PressureRouter> live = routers.stream().filter(PressureRouter::isAlive).toList();
        live.get(random.nextInt(live.size())).call(call);
    }

    private PressureCall newCall(String account, long firstNanos) {
        requests++;
        RoutedRequest request =
                new RoutedRequest(
                        "id" + requests,
                        "example",
                        "/chat/x",
                        Optional.of(account),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.of("model"),
                        List.of(),
                        600 + random.nextInt(800),
                        40,
                        Optional.empty());
        return new PressureCall(request, account, firstNanos, 200 + random.nextInt(400));
    }

    private void addRouter(String name, Set<String> names, boolean queue) {
        String zone = name.substring(0, name.lastIndexOf('-'));
        VirtualControl control = new VirtualControl(time);
        RoutingState state =
                new RoutingState(
                        zone,
                        new RoutingLimits(
                                0.1,
                                10,
                                Duration.ofSeconds(10),
                                1,
                                0,
                                0.1,
                                2,
                                0,
                                Duration.ofSeconds(5),
                                Duration.ofSeconds(2)),
                        new Freshness(Duration.ofMinutes(5), Duration.ofSeconds(5)),
                        new ModelCascade(0),
                        random::nextDouble,
                        new LiveRouters(name, names, 1));
        state.updateConfig(config());
        state.rollOuts().onStoredRecordRead();
        engines.keySet().forEach(id -> state.upstreams().put(upstream(id), time.nanoTime()));
        if (queue) {
            state.loadAdmission().enable(QueueLimits.withBytes(8 << 20));
        }
        PressureRouter router = new PressureRouter(name, this, control, state);
        routers.add(router);
        zones.put(router, zone);
        state.loadAdmission().runChecks(ROUTERS_PER_ZONE, time.nanoTime());
    }

    private static UpstreamInstance upstream(String id) {
        return new UpstreamInstance(
                new Incarnation(id, 1),
                new HostAddress("127.0.0.1", 1000),
                "service",
                id.substring(0, id.lastIndexOf('-')),
                "v1",
                SLOTS,
                false,
                Duration.ZERO);
    }

    private static RoutingConfig config() {
        RoutingConfigBuilder builder =
                RoutingConfig.builder(1)
                        .requireKeys()
                        .addService(
                                new ServiceTraits(
                                        "service",
                                        100,
                                        Duration.ZERO,
                                        0,
                                        Optional.of(
                                                new EngineTraits(
                                                        SLOTS,
                                                        (int) CAPACITY_TOKENS,
                                                        Map.of("model", 1.0)))))
                        .addRoute(
                                new Route(
                                        "chat",
                                        "example",
                                        "/chat/",
                                        RequestKind.RESUMABLE_STREAM,
                                        Duration.ofSeconds(10),
                                        OBJECTIVE,
                                        Duration.ofSeconds(1),
                                        2,
                                        0,
                                        false,
                                        List.of("model"),
                                        List.of(new WeightedService("service", 1))));
        for (int i = 0; i < ACCOUNTS; i++) {
            builder.addKey("a" + i, new Account("a" + i, OptionalInt.empty()));
        }
        return builder.build();
    }
}
