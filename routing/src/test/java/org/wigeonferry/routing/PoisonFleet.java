package org.wigeonferry.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Routers and upstreams in virtual time, in steps of 10 ms. Requests with the part {@code poison}
 * crash the upstream that runs them 100 ms after their arrival, and with it all other runs there;
 * it is back 3 s later. Routers exchange reports as {@code ReportSchedule} decides, 200 ms late.
 *
 * <p>Used by one thread.
 */
final class PoisonFleet {
    static final long STEP_NANOS = 10_000_000;
    private static final int MAX_SENDS = 3;
    private static final int STEPS_PER_CHECK = 50;
    private static final int CHECKS_PER_FIRST_CRASH = 4;
    private static final int CHECKS_PER_PERIODIC_REPORT = 12;
    private static final int STEPS_OF_DELIVERY = 20;
    private static final int STEPS_OF_RESTART = 300;
    private static final int STEPS_TO_CRASH = 10;

    private final Random random;
    private final List<String> names = new ArrayList<>();
    private final List<PoisonRegister> registers = new ArrayList<>();
    private final List<Integer> lastReportChecks = new ArrayList<>();
    private final int[] upstreamBackAt;
    private final int[] starts;
    private final List<FleetRun> runs = new ArrayList<>();
    private final Map<Integer, List<PoisonReport>> deliveries = new HashMap<>();
    private int step;
    private int soundRequests;
    private int soundBegun;
    private final List<Integer> crashSteps = new ArrayList<>();
    private final List<Integer> poisonArrivalSteps = new ArrayList<>();

    PoisonFleet(int routers, int upstreams, long seed) {
        random = new Random(seed);
        for (int i = 0; i < routers; i++) {
            names.add("r" + i);
            registers.add(new PoisonRegister());
            lastReportChecks.add(random.nextInt(CHECKS_PER_PERIODIC_REPORT));
        }
        upstreamBackAt = new int[upstreams];
        starts = new int[upstreams];
    }

    /** Replaces a router's register by an empty one, which reads what the others last reported. */
    void restartRouter(int router) {
        PoisonRegister restarted = new PoisonRegister();
        registers.forEach(other -> restarted.applyReport(other.report(now()), now()));
        registers.set(router, restarted);
    }

    /** Sends a request to a random router. */
    void request(boolean poison) {
        String id = "q" + step + '-' + random.nextInt(1_000_000);
        List<PromptPart> parts = new ArrayList<>();
        boolean besidePoison = poison || random.nextInt(4) == 0;
        parts.add(new PromptPart(besidePoison ? "shared-0" : "shared-" + random.nextInt(20), 50));
        if (poison) {
            parts.add(random.nextInt(parts.size() + 1), new PromptPart("poison", 50));
        }
        parts.add(new PromptPart(id, 50));
        FleetRun run = new FleetRun(id, parts, poison, random.nextInt(registers.size()));
        boolean begun = trySend(run);
        if (!poison && besidePoison) {
            soundRequests++;
            soundBegun += begun ? 1 : 0;
        }
    }

    /** Advances the time by one step. */
    void advance() {
        step++;
        List<PoisonReport> due = deliveries.remove(step);
        if (due != null) {
            due.forEach(report -> registers.forEach(r -> r.applyReport(report, now())));
        }
        new ArrayList<>(runs).stream().filter(this::mustCrash).forEach(run -> crash(run.upstream));
        new ArrayList<>(runs)
                .stream()
                        .filter(run -> run.endStep <= step)
                        .forEach(
                                run -> {
                                    runs.remove(run);
                                    registers.get(run.router).onAnswer(run.id, run.parts, now());
                                });
        if (step % STEPS_PER_CHECK == 0) {
            publishDueReports();
        }
    }

    int step() {
        return step;
    }

    List<Integer> crashSteps() {
        return crashSteps;
    }

    List<Integer> poisonArrivalSteps() {
        return poisonArrivalSteps;
    }

    /**
     * Of the sound requests since the last call that share all other parts with the poison ones,
     * the share whose first send was not refused.
     */
    double takeShareOfSoundRequestsBegun() {
        double share = soundRequests == 0 ? 1 : (double) soundBegun / soundRequests;
        soundRequests = 0;
        soundBegun = 0;
        return share;
    }

    private long now() {
        return step * STEP_NANOS;
    }

    private boolean trySend(FleetRun run) {
        LiveRouters routers = new LiveRouters(names.get(run.router), new HashSet<>(names), 1);
        List<Integer> up = new ArrayList<>();
        for (int i = 0; i < upstreamBackAt.length; i++) {
            if (upstreamBackAt[i] <= step) {
                up.add(i);
            }
        }
        if (up.isEmpty()
                || run.sends >= MAX_SENDS
                || registers.get(run.router).isRefused(run.id, run.parts, routers, now())) {
            return false;
        }
        run.sends++;
        run.upstream = up.get(random.nextInt(up.size()));
        run.startStep = step;
        run.endStep = step + 40 + random.nextInt(160);
        runs.add(run);
        if (run.poison) {
            poisonArrivalSteps.add(step);
        }
        return true;
    }

    private boolean mustCrash(FleetRun run) {
        return run.poison && step - run.startStep >= STEPS_TO_CRASH && runs.contains(run);
    }

    private void crash(int upstream) {
        crashSteps.add(step);
        Incarnation incarnation = new Incarnation("u" + upstream, starts[upstream]++);
        upstreamBackAt[upstream] = step + STEPS_OF_RESTART;
        List<FleetRun> lost = runs.stream().filter(run -> run.upstream == upstream).toList();
        runs.removeAll(lost);
        for (FleetRun run : lost) {
            PoisonRegister register = registers.get(run.router);
            if (step - run.startStep >= 40) {
                register.onAnswer(run.id, run.parts, now());
            } else {
                register.onCrash(run.id, run.parts, incarnation, now());
            }
        }
        lost.forEach(this::trySend);
    }

    private void publishDueReports() {
        int check = step / STEPS_PER_CHECK;
        for (int i = 0; i < registers.size(); i++) {
            PoisonRegister register = registers.get(i);
            int sinceReport = check - lastReportChecks.get(i);
            boolean due =
                    register.news() == PoisonNews.REPEATED_CRASH
                            || (register.news() == PoisonNews.FIRST_CRASH
                                    && sinceReport >= CHECKS_PER_FIRST_CRASH)
                            || sinceReport >= CHECKS_PER_PERIODIC_REPORT;
            if (due) {
                lastReportChecks.set(i, check);
                register.onPublished();
                deliveries
                        .computeIfAbsent(step + STEPS_OF_DELIVERY, key -> new ArrayList<>())
                        .add(register.report(now()));
            }
        }
    }
}
