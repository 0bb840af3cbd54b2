package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the roll-outs of all services: their orders, states and evidence. Decides which release
 * serves a job and when a roll-out is completed or rolled back.
 *
 * <p>Invariant: a state counts only for the newest order of its service, and {@link #nextState}
 * never leads back to running. Owned by the control thread.
 */
public final class RollOutTracker {
    /** Successful answers needed for completion from {@link #MIN_ELAPSED_TO_COMPLETE} on. */
    private static final int MIN_GOOD_ANSWERS = 12;

    /** Successful answers needed for completion from {@link #MIN_ELAPSED_TO_COMPLETE_LATE} on. */
    private static final int MIN_GOOD_ANSWERS_LATE = 8;

    /** Fraction of a roll-out's duration from which it may be completed. */
    private static final double MIN_ELAPSED_TO_COMPLETE = 0.7;

    /** Fraction of a roll-out's duration from which fewer answers suffice for completion. */
    private static final double MIN_ELAPSED_TO_COMPLETE_LATE = 0.85;

    /**
     * Fraction of a roll-out's duration before which no session moves to the new release. Sessions
     * must not move in the first half, and another router may just have served the session on the
     * old release, so this is slightly above one half.
     */
    private static final double MIN_ELAPSED_TO_MOVE_SESSIONS = 0.52;

    /**
     * Share of sessions selected to move, as a multiple of the exposure share. Above 1, so that the
     * second half makes up for the first, in which no session moves.
     */
    private static final double SELECTED_SESSIONS_FACTOR = 1.5;

    /** Sends to the new release that are allowed on top of its share. */
    private static final int EXTRA_NEW_RELEASE_SENDS = 2;

    private static final double MILLIONTHS_PER_UNIT = 1_000_000;
    private static final Duration NEW_RELEASE_WARM_UP = Duration.ofSeconds(5);

    /**
     * Upper limit of one answer's latency ratio; unused, as {@link Slowness#ratioToExpectedTime}
     * has its own.
     */
    private static final double MAX_SINGLE_LATENCY_RATIO = 12;

    private final double exposureShare;
    private final SessionPins pins;
    private final Map<String, RollOut> orders = new HashMap<>();
    private final Map<String, RollOutStatus> statuses = new HashMap<>();
    private final Map<String, RollOutEvidence> ownEvidence = new HashMap<>();
    private final Map<String, Map<String, RollOutEvidence>> evidenceByPeer = new HashMap<>();

    RollOutTracker(RoutingLimits limits) {
        exposureShare = limits.exposureShare();
        pins = new SessionPins(limits.sessionTtl());
    }

    /** Starts a roll-out with empty evidence, unless this order or a newer one is known. */
    public void onRollOutOrdered(RollOut order) {
        RollOut known = orders.get(order.service());
        if (known != null && known.revision() >= order.revision()) {
            return;
        }
        orders.put(order.service(), order);
        ownEvidence.put(
                order.service(),
                new RollOutEvidence(order.revision(), ReleaseEvidence.NONE, ReleaseEvidence.NONE));
    }

    /** Drops the order of a service and its evidence; the status stays. */
    public void onRollOutRemoved(String service) {
        orders.remove(service);
        ownEvidence.remove(service);
    }

    /** Replaces the status of a service with the one read from the store. */
    public void applyStatus(RollOutStatus status) {
        statuses.put(status.service(), status);
    }

    /** The newest order of each service. */
    public List<RollOut> orders() {
        return List.copyOf(orders.values());
    }

    /** The last known status of a service, possibly of an earlier order. */
    public Optional<RollOutStatus> status(String service) {
        return Optional.ofNullable(statuses.get(service));
    }

    /** The state of an order; empty if none has been read from the store. */
    public Optional<RollOutState> state(RollOut order) {
        return status(order.service())
                .filter(status -> status.release().equals(order.release()))
                .filter(status -> status.revision() > order.revision())
                .map(RollOutStatus::state);
    }

    /** Evidence counted by this router, by service. */
    public Map<String, RollOutEvidence> ownEvidence() {
        return Map.copyOf(ownEvidence);
    }

    /** Replaces the evidence reported by another router. */
    public void applyPeerEvidence(String router, Map<String, RollOutEvidence> evidence) {
        evidenceByPeer.put(router, Map.copyOf(evidence));
    }

    /** The state to write for an order now; empty if the stored one stays. */
    public Optional<RollOutState> nextState(RollOut order, long nowNanos) {
        Optional<RollOutState> state = state(order);
        if (state.isPresent() && state.get() != RollOutState.RUNNING) {
            return Optional.empty();
        }
        RollOutEvidence total = totalEvidence(order);
        if (RollOutCriteria.mustRollBack(total)) {
            return Optional.of(RollOutState.ROLLED_BACK);
        }
        double elapsed = elapsedFraction(order, nowNanos);
        boolean early =
                elapsed >= MIN_ELAPSED_TO_COMPLETE
                        && RollOutCriteria.mayComplete(total, MIN_GOOD_ANSWERS);
        boolean late =
                elapsed >= MIN_ELAPSED_TO_COMPLETE_LATE
                        && RollOutCriteria.mayComplete(total, MIN_GOOD_ANSWERS_LATE);
        if (early || late) {
            return Optional.of(RollOutState.COMPLETED);
        }
        return state.isEmpty() ? Optional.of(RollOutState.RUNNING) : Optional.empty();
    }

    /** Evidence of a known order, summed over this router and the others. */
    public RollOutEvidence totalEvidence(RollOut order) {
        RollOutEvidence sum = ownEvidence.get(order.service());
        for (Map<String, RollOutEvidence> evidenceByService : evidenceByPeer.values()) {
            RollOutEvidence other = evidenceByService.get(order.service());
            if (other != null) {
                sum = sum.plus(other);
            }
        }
        return sum;
    }

    /**
     * Rules for a job's upstream in order of preference; a rule applies only if no upstream meets
     * an earlier one.
     */
    List<UpstreamRule> upstreamRules(Job job, long nowNanos) {
        RollOut order = orders.get(job.service());
        if (order == null) {
            return List.of((upstream, j, t) -> true);
        }
        String newRelease = order.release();
        UpstreamRule onlyNew = (upstream, j, t) -> upstream.instance().release().equals(newRelease);
        UpstreamRule onlyOld =
                (upstream, j, t) -> !upstream.instance().release().equals(newRelease);
        Optional<RollOutState> state = state(order);
        if (state.equals(Optional.of(RollOutState.COMPLETED))) {
            return List.of(onlyNew, onlyOld);
        }
        if (state.equals(Optional.of(RollOutState.ROLLED_BACK))
                || RollOutCriteria.mustRollBack(totalEvidence(order))) {
            return List.of(onlyOld);
        }
        if (!mayExposeMore(order, nowNanos)) {
            return List.of(onlyOld);
        }
        Optional<String> pinned =
                job.sessionId()
                        .flatMap(session -> pins.releaseOf(job.service(), session, nowNanos));
        boolean mayMove = elapsedFraction(order, nowNanos) >= MIN_ELAPSED_TO_MOVE_SESSIONS;
        if (pinned.filter(newRelease::equals).isPresent()
                || (mayMove && isSelectedToMove(order, job))) {
            return List.of(onlyNew, onlyOld);
        }
        return mayMove || pinned.isEmpty() ? List.of(onlyOld, onlyNew) : List.of(onlyOld);
    }

    void onSend(Send send, Job job, long nowNanos) {
        String release = send.upstream().release();
        job.sessionId()
                .ifPresent(
                        session -> pins.recordRelease(job.service(), session, release, nowNanos));
        addEvidence(send, new ReleaseEvidence(1, 0, 0, 0, 0, 0, 0));
    }

    void onSendEnd(SendReport report, Job job, long nowNanos) {
        String release = report.send().upstream().release();
        job.sessionId()
                .ifPresent(
                        session -> pins.recordRelease(job.service(), session, release, nowNanos));
        if (report.outcome() == SendOutcome.ANSWERED) {
            addEvidence(report.send(), evidenceOfAnswer(report));
        } else if (report.outcome().isFailure()) {
            addEvidence(report.send(), new ReleaseEvidence(0, 0, 1, 0, 0, 0, 0));
        }
    }

    /**
     * Includes times only of sends that started more than {@link #NEW_RELEASE_WARM_UP} after the
     * order, on either release, since new upstreams are slow at first.
     */
    private ReleaseEvidence evidenceOfAnswer(SendReport report) {
        RollOut order = orders.get(report.send().upstream().service());
        boolean warm =
                order != null
                        && report.send().startNanos() - order.startNanos()
                                > NEW_RELEASE_WARM_UP.toNanos();
        if (!warm || report.timeToFirstByte().isEmpty()) {
            return new ReleaseEvidence(0, 1, 0, 0, 0, 0, 0);
        }
        long ratioMillionths =
                Math.round(
                        MILLIONTHS_PER_UNIT
                                * Slowness.ratioToExpectedTime(
                                        report.timeToFirstByte().get(), report.send()));
        long gapMicros = report.meanEventGap().map(RollOutTracker::micros).orElse(0L);
        int gaps = report.meanEventGap().isPresent() ? 1 : 0;
        return new ReleaseEvidence(0, 1, 0, 1, ratioMillionths, gapMicros, gaps);
    }

    /** Selects by hash, so that all routers that a session may reach agree. */
    private boolean isSelectedToMove(RollOut order, Job job) {
        String name = job.sessionId().orElse(job.request().id());
        return Hashes.fraction(name + '#' + order.revision())
                < SELECTED_SESSIONS_FACTOR * exposureShare;
    }

    /** Whether this router may send more requests to the new release. */
    private boolean mayExposeMore(RollOut order, long nowNanos) {
        if (elapsedFraction(order, nowNanos) >= 1) {
            return false;
        }
        RollOutEvidence evidence = ownEvidence.get(order.service());
        long allSends = evidence.fresh().sends() + evidence.old().sends();
        return evidence.fresh().sends() < exposureShare * allSends + EXTRA_NEW_RELEASE_SENDS;
    }

    private void addEvidence(Send send, ReleaseEvidence more) {
        String service = send.upstream().service();
        RollOutEvidence evidence = ownEvidence.get(service);
        RollOut order = orders.get(service);
        if (evidence == null || order == null) {
            return;
        }
        boolean isNew = send.upstream().release().equals(order.release());
        ownEvidence.put(
                service,
                new RollOutEvidence(
                        evidence.revision(),
                        isNew ? evidence.fresh().plus(more) : evidence.fresh(),
                        isNew ? evidence.old() : evidence.old().plus(more)));
    }

    private static double elapsedFraction(RollOut order, long nowNanos) {
        return (double) (nowNanos - order.startNanos()) / order.duration().toNanos();
    }

    private static long micros(Duration duration) {
        return duration.toNanos() / 1000;
    }
}
