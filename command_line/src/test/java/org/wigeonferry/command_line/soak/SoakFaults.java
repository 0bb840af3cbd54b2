package org.wigeonferry.command_line.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.stand_ins.StoreStandIn;

/**
 * Draws faults; several may be under way at once.
 *
 * <p>Used by one thread; what takes time runs on others, one for each router.
 */
final class SoakFaults {
    /** A fault counts as a disturbance for so long after its end, until all has caught up. */
    private static final long CATCH_UP_MILLIS = 3000;

    /** Time that a leaving upstream goes on serving. */
    private static final long TAKE_OVER_MILLIS = 4000;

    private static final long REVOKE_AFTER_MILLIS = 3000;

    private final Random random;
    private final SoakHistory history;
    private final StoreStandIn store;
    private final SoakStore rows;
    private final Optional<StoreRestores> restores;
    private final List<SoakRouter> routers;
    private final List<SoakUpstream> upstreams;
    private final List<FaultyLink> links;
    private final List<ExecutorService> hands = new ArrayList<>();
    private final ScheduledExecutorService operator = Executors.newScheduledThreadPool(1);
    private final List<SoakFault> kinds;
    private final List<String> failed = new CopyOnWriteArrayList<>();
    private boolean revoked;
    private int done;

    SoakFaults(
            Random random,
            SoakHistory history,
            StoreStandIn store,
            SoakStore rows,
            List<SoakRouter> routers,
            List<SoakUpstream> upstreams,
            List<FaultyLink> links,
            Optional<StoreRestores> restores) {
        this.restores = restores;
        this.random = random;
        this.history = history;
        this.store = store;
        this.rows = rows;
        this.routers = routers;
        this.upstreams = upstreams;
        this.links = links;
        routers.forEach(router -> hands.add(Executors.newSingleThreadExecutor()));
        kinds =
                List.of(
                        this::killRouter,
                        this::killHerd,
                        this::stopRouter,
                        this::freezeRouter,
                        this::cutStore,
                        this::storeRefuses,
                        this::storeLosesHistory,
                        this::disturbLink,
                        this::replaceUpstream,
                        () -> rows.garbage(done));
    }

    /** Begins the next fault. */
    void next() {
        if (!revoked && history.now() > REVOKE_AFTER_MILLIS) {
            revoked = true;
            rows.revoke("doomed", "steady");
        }
        if (restores.filter(StoreRestores::maybeRestore).isPresent()) {
            disturbAll();
        }
        done++;
        kinds.get(random.nextInt(kinds.size())).begin();
    }

    int done() {
        return done;
    }

    /** Faults whose processes did not do what they were told, such as to start. */
    List<String> failed() {
        return List.copyOf(failed);
    }

    /** Ends all faults; routers that are down are up again after it. */
    void healAll() throws InterruptedException {
        for (ExecutorService hand : hands) {
            hand.shutdown();
            hand.awaitTermination(60, TimeUnit.SECONDS);
        }
        operator.shutdown();
        operator.awaitTermination(60, TimeUnit.SECONDS);
        links.forEach(FaultyLink::heal);
        routers.forEach(router -> router.store().heal());
        upstreams.forEach(SoakUpstream::heal);
    }

    private void killRouter() {
        kill(random.nextInt(routers.size()), random.nextInt(1500));
    }

    /** About half of the routers die at the same moment. */
    private void killHerd() {
        for (int i = 0; i < routers.size(); i++) {
            if (random.nextBoolean()) {
                kill(i, random.nextInt(1500));
            }
        }
    }

    private void kill(int index, long downMillis) {
        onRouter(
                index,
                router -> {
                    router.kill();
                    router.awaitEnd();
                    Thread.sleep(downMillis);
                    router.start();
                    router.awaitReady();
                });
    }

    private void stopRouter() {
        onRouter(
                router -> {
                    router.terminate();
                    router.awaitEnd();
                    router.start();
                    router.awaitReady();
                });
    }

    private void freezeRouter() {
        long frozen = 200 + random.nextInt(7000);
        onRouter(
                router -> {
                    router.signal("STOP");
                    Thread.sleep(frozen);
                    router.signal("CONT");
                });
    }

    private void cutStore() {
        boolean there = random.nextBoolean();
        boolean back = !there || random.nextBoolean();
        long cut = 200 + random.nextInt(7000);
        onRouter(
                router -> {
                    router.store().cut(there, back);
                    Thread.sleep(cut);
                    router.store().heal();
                });
    }

    private void storeRefuses() {
        disturbAll();
        store.refuse(1 + random.nextInt(20));
    }

    private void storeLosesHistory() {
        disturbAll();
        store.forget();
    }

    private void disturbLink() {
        FaultyLink link = links.get(random.nextInt(links.size()));
        switch (random.nextInt(4)) {
            case 0 -> link.reset();
            case 1 -> link.delay(random.nextInt((int) SoakChecks.LINK_DELAY));
            case 2 -> link.cut(random.nextBoolean(), true);
            default -> link.heal();
        }
    }

    /** An upstream leaves, with or without a word; later another takes over its address. */
    private void replaceUpstream() {
        int index = random.nextInt(upstreams.size());
        SoakUpstream upstream = upstreams.get(index);
        if (history.leaving().containsKey(upstream.id())) {
            return;
        }
        if (random.nextBoolean()) {
            register(index, true);
        } else {
            rows.upstreamGone(upstream.id());
        }
        String next = "i-" + index + "-" + done;
        operator.schedule(() -> takeOver(index, next), TAKE_OVER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void takeOver(int index, String next) {
        SoakUpstream upstream = upstreams.get(index);
        rows.upstreamGone(upstream.id());
        upstream.become(next);
        register(index, false);
    }

    private void register(int index, boolean leaving) {
        rows.upstream(
                upstreams.get(index).id(),
                links.get(index).address(),
                SoakRun.service(index),
                leaving);
    }

    private void disturbAll() {
        long now = history.now();
        for (int i = 0; i < routers.size(); i++) {
            history.disturbed(i, now, now + CATCH_UP_MILLIS);
        }
    }

    private void onRouter(SoakRouterFault fault) {
        onRouter(random.nextInt(routers.size()), fault);
    }

    private void onRouter(int index, SoakRouterFault fault) {
        hands.get(index)
                .execute(
                        () -> {
                            SoakSpan open = history.disturbedFromNow(index);
                            try {
                                fault.play(routers.get(index));
                            } catch (StepException e) {
                                failed.add("fault could not be played: " + e);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                            history.ended(open, history.now() + CATCH_UP_MILLIS);
                        });
    }
}
