package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.ToLongBiFunction;
import org.wigeonferry.routing.hedging.HedgeLater;

/**
 * Replays a load of safe requests on upstreams in virtual time, with one router.
 *
 * <p>Not thread safe.
 */
final class HedgedFleet {
    private static final long START_NANOS = 100 * Fixtures.NANOS_PER_SECOND;

    private final RoutingState state;
    private final ToLongBiFunction<Integer, Long> answerNanos;
    private final PriorityQueue<FleetEvent> events = new PriorityQueue<>();
    private final List<Long> latenciesNanos = new ArrayList<>();
    private final List<Long> hedgeTimesNanos = new ArrayList<>();
    private long nowNanos = START_NANOS;
    private int firstSends;

    /**
     * Creates the fleet.
     *
     * @param answerNanos time from which an upstream works on a send to its answer, by the number
     *     of the upstream and the time since the start
     */
    HedgedFleet(double share, int upstreams, ToLongBiFunction<Integer, Long> answerNanos) {
        this.answerNanos = answerNanos;
        state = Fixtures.state(Fixtures.config(7), Fixtures.limits(share), START_NANOS);
        for (int i = 0; i < upstreams; i++) {
            state.upstreams().put(Fixtures.upstream("u" + i, "desk"), START_NANOS);
        }
    }

    void run(Duration time, Duration interval) {
        for (long at = 0; at < time.toNanos(); at += interval.toNanos()) {
            schedule(at, this::sendRequest);
        }
        while (!events.isEmpty()) {
            FleetEvent next = events.poll();
            nowNanos = next.atNanos();
            next.task().run();
        }
    }

    /** Requests answered later than an objective. */
    long late(Duration objective) {
        return latenciesNanos.stream().filter(l -> l > objective.toNanos()).count();
    }

    int firstSends() {
        return firstSends;
    }

    /** Hedged sends from a time since the start on. */
    long hedgesAfter(Duration time) {
        return hedgeTimesNanos.stream().filter(t -> t - START_NANOS >= time.toNanos()).count();
    }

    private void schedule(long delayNanos, Runnable task) {
        events.add(new FleetEvent(nowNanos + delayNanos, events.size(), task));
    }

    private void sendRequest() {
        Fixtures.confirmConfig(state, nowNanos);
        RoutedRequest request = Fixtures.request("look", "id" + firstSends, Optional.empty());
        Job job = Fixtures.admit(state, request, nowNanos);
        if (!(Fixtures.place(state, job, nowNanos) instanceof Send first)) {
            return;
        }
        firstSends++;
        List<Send> open = new ArrayList<>(List.of(first));
        scheduleAnswer(job, first, first, open);
        consider(job, first, open);
    }

    private void consider(Job job, Send first, List<Send> open) {
        if (!open.contains(first)) {
            return;
        }
        HedgePlan plan =
                state.planHedgedSend(
                        job, first, "content", nowNanos, Fixtures.wallMillis(nowNanos));
        if (plan.decision() instanceof HedgeLater later) {
            schedule(later.delay().toNanos(), () -> consider(job, first, open));
        }
        plan.send()
                .ifPresent(
                        hedge -> {
                            hedgeTimesNanos.add(nowNanos);
                            open.add(hedge);
                            scheduleAnswer(job, first, hedge, open);
                        });
    }

    private void scheduleAnswer(Job job, Send first, Send send, List<Send> open) {
        int number = Integer.parseInt(send.upstream().id().substring(1));
        long delay = answerNanos.applyAsLong(number, nowNanos - START_NANOS);
        schedule(delay, () -> answer(job, first, send, open));
    }

    private void answer(Job job, Send first, Send winner, List<Send> open) {
        if (!open.remove(winner)) {
            return;
        }
        latenciesNanos.add(nowNanos - first.startNanos());
        state.onResponseHeaders(winner, Optional.empty(), nowNanos);
        end(job, Fixtures.reportWithHeaders(winner, SendOutcome.ANSWERED));
        open.forEach(
                loser -> end(job, Fixtures.reportWithoutHeaders(loser, SendOutcome.SUPERSEDED)));
        open.clear();
    }

    private void end(Job job, SendReport report) {
        state.onSendEnd(job, "content", report, nowNanos);
    }
}
