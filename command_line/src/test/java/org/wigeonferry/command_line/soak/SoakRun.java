package org.wigeonferry.command_line.soak;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.wigeonferry.command_line.DemoPorts;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.stand_ins.StoreStandIn;

/**
 * One seed of the soak: starts everything, disturbs it under load, heals it, and reports breaches.
 *
 * <p>Used by one thread; callers run on threads of their own.
 */
final class SoakRun implements AutoCloseable {
    private static final int ROUTERS = Integer.getInteger("soak.routers", 3);
    private static final int UPSTREAMS = 6;
    private static final int CALLERS = 200;
    private static final long CALL_GAP_MILLIS = 15;
    private static final long SETTLE_MILLIS = 5000;

    /** Share of the calls after all is healed that have to be answered. */
    private static final double SERVED_AFTER = 0.95;

    private static final int CALLS_AFTER = 100;

    /** A key that works once a router has read the configuration that is written after all. */
    private static final String ADDED_KEY = "added";

    private final long seed;
    private final Random random;
    private final long startNanos = System.nanoTime();
    private final SoakHistory history = new SoakHistory(this::millis);
    private final StoreStandIn store = new StoreStandIn();
    private final SoakStore rows = new SoakStore(store, history);
    private final List<SoakRouter> routers = new ArrayList<>();
    private final List<SoakUpstream> upstreams = new ArrayList<>();
    private final List<FaultyLink> links = new ArrayList<>();
    private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
    private final Path directory;
    private final SoakFaults faults;
    private volatile boolean loaded = true;
    private int calls;

    /**
     * Starts all but the routers.
     *
     * @param restoresStore whether the store comes back from older copies, beside the other faults
     */
    SoakRun(long seed, boolean restoresStore) throws Exception {
        this.seed = seed;
        random = new Random(seed);
        directory = Files.createTempDirectory("soak-" + seed + "-");
        DemoPorts ports = new DemoPorts();
        for (int i = 0; i < UPSTREAMS; i++) {
            SoakUpstream upstream = new SoakUpstream("i-" + i, history, new Random(seed + i));
            upstreams.add(upstream);
            links.add(new FaultyLink(upstream.address()));
            rows.upstream(upstream.id(), links.get(i).address(), service(i), false);
        }
        rows.configure("steady", "doomed");
        for (int i = 0; i < ROUTERS; i++) {
            routers.add(new SoakRouter("router-" + i, directory, ports, store.address()));
        }
        Optional<StoreRestores> restores =
                restoresStore
                        ? Optional.of(new StoreRestores(seed, store, rows))
                        : Optional.empty();
        faults = new SoakFaults(random, history, store, rows, routers, upstreams, links, restores);
    }

    /** Plays the seed; returns the breaches. */
    List<String> play(long disturbedMillis) throws StepException, InterruptedException {
        startRouters();
        Thread load = new Thread(this::load, "soak-load");
        load.start();
        disturb(disturbedMillis);
        faults.healAll();
        rows.configure("steady", ADDED_KEY);
        Thread.sleep(SETTLE_MILLIS);
        loaded = false;
        load.join();
        List<String> breaches = new ArrayList<>(faults.failed());
        breaches.addAll(servedAfter());
        callers.shutdown();
        callers.awaitTermination(20, TimeUnit.SECONDS);
        SoakChecks.all()
                .forEach(
                        (name, check) ->
                                check.breaches(history)
                                        .forEach(breach -> breaches.add(name + ": " + breach)));
        report(breaches);
        return breaches;
    }

    private void startRouters() throws StepException {
        for (SoakRouter router : routers) {
            router.start();
        }
        for (SoakRouter router : routers) {
            router.awaitReady();
        }
    }

    private void disturb(long length) throws InterruptedException {
        long end = millis() + length;
        while (millis() < end) {
            faults.next();
            Thread.sleep(300 + random.nextInt(1200));
        }
    }

    private void report(List<String> breaches) {
        System.out.printf(
                "soak: seed=%d routers=%d calls=%d runs=%d answered=%d faults=%d breaches=%d%s%n",
                seed,
                ROUTERS,
                history.calls().size(),
                history.runs().size(),
                answered(history.calls()),
                faults.done(),
                breaches.size(),
                breaches.isEmpty() ? "" : ", logs in " + directory);
        breaches.forEach(System.out::println);
    }

    static String service(int upstream) {
        return upstream % 2 == 0 ? "desk" : "model";
    }

    @Override
    public void close() throws Exception {
        callers.shutdownNow();
        for (SoakRouter router : routers) {
            router.close();
        }
        for (FaultyLink link : links) {
            link.close();
        }
        for (SoakUpstream upstream : upstreams) {
            upstream.close();
        }
        store.close();
    }

    private void load() {
        while (loaded) {
            String key = calls % 4 == 0 ? "doomed" : "steady";
            callers.execute(() -> call(key));
            try {
                Thread.sleep(CALL_GAP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void call(String key) {
        int number = nextCall();
        List<Integer> open = new ArrayList<>();
        for (int i = 0; i < ROUTERS; i++) {
            if (routers.get(i).takesRequests()) {
                open.add(i);
            }
        }
        if (open.isEmpty()) {
            return;
        }
        int router = open.get(number % open.size());
        int draw = number / SoakKind.values().length;
        SoakKind kind = SoakKind.values()[draw % SoakKind.values().length];
        history.call(
                SoakCaller.send(
                        history,
                        routers.get(router).callers(),
                        router,
                        "s" + seed + "-" + number,
                        kind,
                        key));
    }

    private synchronized int nextCall() {
        calls++;
        return calls;
    }

    private List<String> servedAfter() throws InterruptedException {
        Thread.sleep(SoakChecks.PATIENCE + SoakChecks.SLACK);
        int before = history.calls().size();
        for (int i = 0; i < CALLS_AFTER; i++) {
            String key = i % 2 == 0 ? "steady" : ADDED_KEY;
            callers.execute(() -> call(key));
            Thread.sleep(CALL_GAP_MILLIS);
        }
        Thread.sleep(SoakChecks.PATIENCE + SoakChecks.SLACK);
        List<SoakCall> after = List.copyOf(history.calls());
        long answered = answered(after.subList(Math.min(before, after.size()), after.size()));
        return answered >= CALLS_AFTER * SERVED_AFTER
                ? List.of()
                : List.of("served again after all is healed: " + answered + " of " + CALLS_AFTER);
    }

    private static long answered(List<SoakCall> calls) {
        return calls.stream()
                .filter(call -> call.answer().status() == 200 && call.answer().whole())
                .count();
    }

    private long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
