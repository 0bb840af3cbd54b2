package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The roll-outs of all services: orders, states, evidence, and which release a job may run on.
 *
 * <p>Invariant: a state belongs to the newest order of its service, and never goes back to running.
 * Owned by the control thread.
 */
public final class RollOutTracker {
    /** Answers that a completion asks for, early and at the end of the time. */
    private static final int MIN_GOOD = 12;

    private static final int MIN_GOOD_LATE = 8;

    /** Parts of an order's duration at which it may be completed, and must be if at all. */
    private static final double COMPLETE_FROM = 0.7;

    private static final double COMPLETE_LATE = 0.85;

    /**
     * Part of an order's duration before which no session moves to the new release: a session may
     * have been served by another entry just before, on the old one. A little over the half in
     * which moves are forbidden.
     */
    private static final double MOVES_FROM = 0.52;

    /** Sessions that move, over the allowed share; more than one, as none moves at first. */
    private static final double DRAWN_PART = 1.5;

    /** Sends to the new release that are allowed before its share is reached. */
    private static final int FIRST_SENDS = 2;

    private static final double MILLION = 1_000_000;
    private static final Duration WARM_UP = Duration.ofSeconds(5);

    /** Cuts off what single answers add to a mean. */
    private static final double MOST_SLOWNESS = 12;

    private final double exposureShare;
    private final SessionPins pins;
    private final Map<String, RollOut> orders = new HashMap<>();
    private final Map<String, RollOutStatus> statuses = new HashMap<>();
    private final Map<String, RollOutEvidence> own = new HashMap<>();
    private final Map<String, Map<String, RollOutEvidence>> foreign = new HashMap<>();

    RollOutTracker(RoutingLimits limits) {
        exposureShare = limits.exposureShare();
        pins = new SessionPins(limits.sessionTtl());
    }

    /** Takes an order. */
    public void onRollOutOrdered(RollOut order) {
        RollOut before = orders.get(order.service());
        if (before != null && before.revision() >= order.revision()) {
            return;
        }
        orders.put(order.service(), order);
        own.put(
                order.service(),
                new RollOutEvidence(order.revision(), ReleaseEvidence.NONE, ReleaseEvidence.NONE));
    }

    /** Drops the order of a service. */
    public void onRollOutRemoved(String service) {
        orders.remove(service);
        own.remove(service);
    }

    /** Takes a state. */
    public void applyStatus(RollOutStatus status) {
        statuses.put(status.service(), status);
    }

    /** All orders. */
    public List<RollOut> orders() {
        return List.copyOf(orders.values());
    }

    /** The status row of a service, of whatever order. */
    public Optional<RollOutStatus> status(String service) {
        return Optional.ofNullable(statuses.get(service));
    }

    /** The state of an order; empty if none stands in the store. */
    public Optional<RollOutState> state(RollOut order) {
        return status(order.service())
                .filter(status -> status.release().equals(order.release()))
                .filter(status -> status.revision() > order.revision())
                .map(RollOutStatus::state);
    }

    /** What this entry saw, by service. */
    public Map<String, RollOutEvidence> ownEvidence() {
        return Map.copyOf(own);
    }

    /** Takes what another entry saw. */
    public void applyPeerEvidence(String entry, Map<String, RollOutEvidence> evidence) {
        foreign.put(entry, Map.copyOf(evidence));
    }

    /** The state that an order should get now, if it is to change. */
    public Optional<RollOutState> nextState(RollOut order, long now) {
        Optional<RollOutState> state = state(order);
        if (state.isPresent() && state.get() != RollOutState.RUNNING) {
            return Optional.empty();
        }
        RollOutEvidence all = totalEvidence(order);
        if (RollOutCriteria.mustRollBack(all)) {
            return Optional.of(RollOutState.ROLLED_BACK);
        }
        double part = part(order, now);
        boolean early = part >= COMPLETE_FROM && RollOutCriteria.mayComplete(all, MIN_GOOD);
        boolean late = part >= COMPLETE_LATE && RollOutCriteria.mayComplete(all, MIN_GOOD_LATE);
        if (early || late) {
            return Optional.of(RollOutState.COMPLETED);
        }
        return state.isEmpty() ? Optional.of(RollOutState.RUNNING) : Optional.empty();
    }

    /** Everything that all entries saw of an order. */
    public RollOutEvidence totalEvidence(RollOut order) {
        RollOutEvidence sum = own.get(order.service());
        for (Map<String, RollOutEvidence> of : foreign.values()) {
            RollOutEvidence other = of.get(order.service());
            if (other != null) {
                sum = sum.plus(other);
            }
        }
        return sum;
    }

    /**
     * The rules for a job's upstream, best first; a later one holds if no upstream meets the first.
     */
    List<UpstreamRule> upstreamRules(Job job, long now) {
        RollOut order = orders.get(job.service());
        if (order == null) {
            return List.of((upstream, j, t) -> true);
        }
        String fresh = order.release();
        UpstreamRule onlyFresh = (upstream, j, t) -> upstream.instance().release().equals(fresh);
        UpstreamRule onlyOld = (upstream, j, t) -> !upstream.instance().release().equals(fresh);
        Optional<RollOutState> state = state(order);
        if (state.equals(Optional.of(RollOutState.COMPLETED))) {
            return List.of(onlyFresh, onlyOld);
        }
        if (state.equals(Optional.of(RollOutState.ROLLED_BACK))
                || RollOutCriteria.mustRollBack(totalEvidence(order))) {
            return List.of(onlyOld);
        }
        if (!mayGrow(order, now)) {
            return List.of(onlyOld);
        }
        Optional<String> pinned =
                job.sessionId().flatMap(session -> pins.releaseOf(job.service(), session, now));
        boolean mayMove = part(order, now) >= MOVES_FROM;
        if (pinned.filter(fresh::equals).isPresent() || (mayMove && drawn(order, job))) {
            return List.of(onlyFresh, onlyOld);
        }
        return mayMove || pinned.isEmpty() ? List.of(onlyOld, onlyFresh) : List.of(onlyOld);
    }

    void onSend(Send send, Job job, long now) {
        String release = send.upstream().release();
        job.sessionId()
                .ifPresent(session -> pins.recordRelease(job.service(), session, release, now));
        add(send, new ReleaseEvidence(1, 0, 0, 0, 0, 0, 0));
    }

    void onEnd(SendReport report, Job job, long now) {
        String release = report.send().upstream().release();
        job.sessionId()
                .ifPresent(session -> pins.recordRelease(job.service(), session, release, now));
        if (report.outcome() == SendOutcome.ANSWERED) {
            add(report.send(), answered(report));
        } else if (report.outcome().isFailure()) {
            add(report.send(), new ReleaseEvidence(0, 0, 1, 0, 0, 0, 0));
        }
    }

    /** New upstreams are slow at first, so times count only once an order has run for a while. */
    private ReleaseEvidence answered(SendReport report) {
        RollOut order = orders.get(report.send().upstream().service());
        boolean warm =
                order != null
                        && report.send().startNanos() - order.startNanos() > WARM_UP.toNanos();
        if (!warm || report.timeToFirstByte().isEmpty()) {
            return new ReleaseEvidence(0, 1, 0, 0, 0, 0, 0);
        }
        long first =
                Math.round(MILLION * Slowness.ratio(report.timeToFirstByte().get(), report.send()));
        long gap = report.meanEventGap().map(RollOutTracker::micros).orElse(0L);
        int gaps = report.meanEventGap().isPresent() ? 1 : 0;
        return new ReleaseEvidence(0, 1, 0, 1, first, gap, gaps);
    }

    /** All entries draw the same for a session, since a session may reach several of them. */
    private boolean drawn(RollOut order, Job job) {
        String name = job.sessionId().orElse(job.request().id());
        return Hashes.fraction(name + '#' + order.revision()) < DRAWN_PART * exposureShare;
    }

    private boolean mayGrow(RollOut order, long now) {
        if (part(order, now) >= 1) {
            return false;
        }
        RollOutEvidence seen = own.get(order.service());
        long all = seen.fresh().sends() + seen.old().sends();
        return seen.fresh().sends() < exposureShare * all + FIRST_SENDS;
    }

    private void add(Send send, ReleaseEvidence more) {
        String service = send.upstream().service();
        RollOutEvidence seen = own.get(service);
        RollOut order = orders.get(service);
        if (seen == null || order == null) {
            return;
        }
        boolean fresh = send.upstream().release().equals(order.release());
        own.put(
                service,
                new RollOutEvidence(
                        seen.revision(),
                        fresh ? seen.fresh().plus(more) : seen.fresh(),
                        fresh ? seen.old() : seen.old().plus(more)));
    }

    private static double part(RollOut order, long now) {
        return (double) (now - order.startNanos()) / order.duration().toNanos();
    }

    private static long micros(Duration duration) {
        return duration.toNanos() / 1000;
    }
}
