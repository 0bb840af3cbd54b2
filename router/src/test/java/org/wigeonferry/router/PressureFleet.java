package org.wigeonferry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.wigeonferry.routing.Freshness;
import org.wigeonferry.routing.LiveRouters;
import org.wigeonferry.routing.ModelCascade;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingLimits;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.waiting.QueueLimits;
import org.wigeonferry.stand_ins.VirtualControl;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Routers of two zones before engines that crash when they hold too much, in virtual time. Reports
 * between the routers of a zone take up to 100 ms, and can be lost; those between zones do not
 * exist.
 */
final class PressureFleet {
    static final int ENGINES_PER_ZONE = 3;
    static final int ACCOUNTS = 10;

    /** Account whose requests are the most urgent; it sends only where a test says so. */
    static final String URGENT_ACCOUNT = "urgent";

    static final Duration OBJECTIVE = Duration.ofMillis(1500);
    static final long CAPACITY_TOKENS = 60_000;

    /** Engines with this memory are full before their slots are. */
    static final long SMALL_CAPACITY_TOKENS = 18_000;

    /** Requests per second that the slots of all engines serve. */
    static final int CAPACITY_PER_SECOND = 230;

    /** Time that a report takes to be read by a router with little processor time. */
    private static final int MAX_REPORT_DELAY_MILLIS = 100;

    private static final int ROUTERS_PER_ZONE = 3;
    private static final List<String> ZONES = List.of("zone-a", "zone-b");

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(5);
    private final Map<String, PressureEngine> engines = new LinkedHashMap<>();
    private final List<PressureRouter> routers = new ArrayList<>();
    private final Map<PressureRouter, String> zones = new LinkedHashMap<>();
    private final Set<PressureRouter> cutOff = new HashSet<>();
    private final Set<Set<PressureRouter>> cutLinks = new HashSet<>();
    private final PressureTally tally = new PressureTally();
    private final boolean callersReturn;
    private final long capacityTokens;
    private Predicate<PressureRouter> reachable = router -> true;
    private int decodeFactor = 1;
    private int requests;
    private long reports;

    /**
     * Starts a fleet.
     *
     * @param queue whether requests wait for room
     * @param callersReturn whether a refused caller sends the request again, when it is told to
     */
    PressureFleet(boolean queue, boolean callersReturn) {
        this(queue, callersReturn, CAPACITY_TOKENS);
    }

    /** The same, with engines that have this memory. */
    PressureFleet(boolean queue, boolean callersReturn, long capacityTokens) {
        this.callersReturn = callersReturn;
        this.capacityTokens = capacityTokens;
        Set<String> names = new HashSet<>();
        for (String zone : ZONES) {
            for (int i = 0; i < ENGINES_PER_ZONE; i++) {
                engines.put(
                        zone + "-e" + i,
                        new PressureEngine(time, PressureConfig.SLOTS, capacityTokens));
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

    /** Sets the routers that callers reach from now on. */
    void setReachable(Predicate<PressureRouter> routersOfCallers) {
        reachable = routersOfCallers;
    }

    /** Makes the answers of requests from now on this many times as long as usual. */
    void setDecodeFactor(int factor) {
        decodeFactor = factor;
    }

    /** Loses the reports between two routers from now on. */
    void cutLink(PressureRouter one, PressureRouter other) {
        cutLinks.add(Set.of(one, other));
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
        reports++;
        long sequence = reports;
        for (PressureRouter to : routers) {
            boolean linked =
                    to != from
                            && zones.get(to).equals(zones.get(from))
                            && !cutLinks.contains(Set.of(from, to))
                            && !cutOff.contains(from)
                            && !cutOff.contains(to);
            if (linked) {
                time.after(
                        Duration.ofMillis(1 + random.nextInt(MAX_REPORT_DELAY_MILLIS)),
                        () -> {
                            if (to.isAlive()) {
                                to.onPeerReport(from.name(), sequence, loads);
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
        List<PressureRouter> live =
                routers.stream()
                        .filter(router -> router.isAlive() && reachable.test(router))
                        .toList();
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
        return new PressureCall(
                request, account, firstNanos, decodeFactor * (200 + random.nextInt(400)));
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
        state.updateConfig(PressureConfig.config(capacityTokens));
        state.rollOuts().onStoredRecordRead();
        engines.keySet()
                .forEach(id -> state.upstreams().put(PressureConfig.upstream(id), time.nanoTime()));
        if (queue) {
            state.loadAdmission().enable(QueueLimits.withBytes(8 << 20));
        }
        PressureRouter router = new PressureRouter(name, this, control, state);
        routers.add(router);
        zones.put(router, zone);
        state.loadAdmission().runChecks(ROUTERS_PER_ZONE, time.nanoTime());
    }
}
