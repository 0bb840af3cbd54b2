package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Tracks the roll-outs of all services: their orders, states and evidence. Decides which release
 * serves a job and when a roll-out is completed or rolled back.
 *
 * <p>What a roll-out depends on outlives this process: its start, its state and its move stand in
 * the store, and so does the evidence of each router. Invariants: a start, a state or a move counts
 * only for the newest order of its service; {@link #nextState} never leads back to running; until
 * all of it has been read, no request goes to a new release that may still be rolled back. Owned by
 * the control thread.
 */
public final class RollOutTracker {
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

    private final RoutingLimits limits;
    private final SessionPins pins;
    private final ReleaseEvidenceLog evidenceLog = new ReleaseEvidenceLog();
    private final RollOutRecord record = new RollOutRecord();
    private boolean storedRecordRead;

    RollOutTracker(RoutingLimits limits) {
        this.limits = limits;
        pins = new SessionPins(limits.sessionTtl());
    }

    /**
     * Records that the stored starts, states, moves and evidence of all roll-outs have been read
     * once.
     */
    public void onStoredRecordRead() {
        storedRecordRead = true;
    }

    /** Whether {@link #onStoredRecordRead} has been called. */
    public boolean isStoredRecordRead() {
        return storedRecordRead;
    }

    /** Starts a roll-out, unless this order or a newer one is known. */
    public void onRollOutOrdered(RollOut order) {
        if (record.applyOrder(order)) {
            evidenceLog.start(order);
        }
    }

    /** Drops the order of a service and its evidence; the status stays. */
    public void onRollOutRemoved(String service) {
        record.removeOrder(service);
        evidenceLog.remove(service);
    }

    /** Applies the start of a roll-out that was read from the store. */
    public void applyStart(RollOutStart start) {
        record.applyStart(start);
    }

    /** Replaces the status of a service with the one read from the store. */
    public void applyStatus(RollOutStatus status) {
        record.applyStatus(status);
    }

    /** Starts the move of a service's traffic; the first start of an order's move counts. */
    public void applyMove(TrafficMove move) {
        record.applyMove(move);
    }

    /** The newest order of each service. */
    public List<RollOut> orders() {
        return record.orders();
    }

    /** The last known status of a service, possibly of an earlier order. */
    public Optional<RollOutStatus> status(String service) {
        return record.status(service);
    }

    /** The last known move of a service's traffic, possibly of an earlier order. */
    public Optional<TrafficMove> move(String service) {
        return record.move(service);
    }

    /** The state of an order; empty if none has been read from the store. */
    public Optional<RollOutState> state(RollOut order) {
        return record.state(order);
    }

    /** Evidence counted by this router in all its incarnations, by service. */
    public Map<String, RollOutEvidence> ownEvidence() {
        return evidenceLog.own();
    }

    /** Adds the evidence that this router reported before it was restarted. */
    public void restoreOwnEvidence(Map<String, RollOutEvidence> evidence) {
        evidenceLog.restoreOwn(evidence);
    }

    /** Replaces the evidence reported by another router. */
    public void applyPeerEvidence(String router, Map<String, RollOutEvidence> evidence) {
        evidenceLog.applyPeer(router, evidence);
    }

    /** Drops the evidence of orders that are no longer the newest of their service. */
    public void dropOldEvidence() {
        evidenceLog.retainOrders(
                record.orders().stream().map(RollOut::revision).collect(Collectors.toSet()));
    }

    /** Evidence of a known order, summed over this router and the others. */
    public RollOutEvidence totalEvidence(RollOut order) {
        return evidenceLog.total(order);
    }

    /** Whether a roll-out that is not finished is decided soon. */
    public boolean isDecisionNear(long nowNanos) {
        return record.orders().stream()
                .filter(order -> !isFinished(order))
                .anyMatch(order -> TrafficMoveSchedule.isDecisionNear(order, nowNanos));
    }

    /** Whether an order is completed or rolled back. */
    public boolean isFinished(RollOut order) {
        return state(order).filter(s -> s != RollOutState.RUNNING).isPresent();
    }

    /** Whether the move of a service's traffic to an order's release should start now. */
    public boolean shouldStartMove(RollOut order, long nowNanos) {
        return state(order).equals(Optional.of(RollOutState.RUNNING))
                && record.moveOf(order).isEmpty()
                && TrafficMoveSchedule.mayStart(order, totalEvidence(order), nowNanos);
    }

    /** Whether the evidence shows that an order's release is bad. */
    public boolean isShownBad(RollOut order) {
        return RollOutCriteria.mustRollBack(totalEvidence(order));
    }

    /**
     * The state to write for an order now; empty if the stored one stays. A release that is not
     * shown to be good when the time is up is rolled back.
     */
    public Optional<RollOutState> nextState(RollOut order, long nowNanos) {
        if (isFinished(order)) {
            return Optional.empty();
        }
        RollOutEvidence total = totalEvidence(order);
        if (RollOutCriteria.mustRollBack(total)) {
            return Optional.of(RollOutState.ROLLED_BACK);
        }
        boolean moved =
                record.moveOf(order)
                        .map(move -> TrafficMoveSchedule.isDone(order, move, nowNanos))
                        .orElse(TrafficMoveSchedule.isLastChance(order, nowNanos));
        if (moved && TrafficMoveSchedule.isGood(total)) {
            return Optional.of(RollOutState.COMPLETED);
        }
        if (TrafficMoveSchedule.isTimeUp(order, nowNanos)) {
            return Optional.of(RollOutState.ROLLED_BACK);
        }
        return state(order).isEmpty() ? Optional.of(RollOutState.RUNNING) : Optional.empty();
    }

    /**
     * Rules for a job's upstream in order of preference; a rule applies only if no upstream meets
     * an earlier one.
     *
     * @param routerCount routers among which the exposure of a new release is divided
     */
    List<UpstreamRule> upstreamRules(Job job, int routerCount, long nowNanos) {
        Optional<RollOut> newest = record.order(job.service());
        if (newest.isEmpty()) {
            return rulesWithoutOrder(job.service());
        }
        RollOut order = newest.get();
        String newRelease = order.release();
        UpstreamRule onlyNew = UpstreamRules.ofRelease(newRelease);
        UpstreamRule onlyOld = UpstreamRules.notOfRelease(newRelease);
        Optional<RollOutState> state = state(order);
        if (state.equals(Optional.of(RollOutState.COMPLETED))) {
            return List.of(onlyNew, onlyOld);
        }
        if (!storedRecordRead
                || state.equals(Optional.of(RollOutState.ROLLED_BACK))
                || isShownBad(order)) {
            return List.of(onlyOld);
        }
        Optional<TrafficMove> move = record.moveOf(order);
        // Only sessions move early: a request without one needs no cached prompt.
        boolean moves = move.isPresent() && job.sessionId().isPresent();
        if (!moves && !mayExposeMore(order, routerCount, nowNanos)) {
            return List.of(onlyOld);
        }
        Optional<String> pinned =
                job.sessionId()
                        .flatMap(session -> pins.releaseOf(job.service(), session, nowNanos));
        // Requests without a session can't meet both releases in one.
        if (job.sessionId().isEmpty()) {
            return LoadPulses.isOn(order, limits.exposureShare(), nowNanos)
                    ? List.of(onlyNew, onlyOld)
                    : List.of(onlyOld, onlyNew);
        }
        boolean mayMove =
                move.isPresent()
                        || elapsedFraction(order, nowNanos) >= MIN_ELAPSED_TO_MOVE_SESSIONS;
        if (pinned.filter(newRelease::equals).isPresent()
                || (mayMove && isSelectedToMove(order, move, job, nowNanos))) {
            return List.of(onlyNew, onlyOld);
        }
        return mayMove || pinned.isEmpty() ? List.of(onlyOld, onlyNew) : List.of(onlyOld);
    }

    /**
     * The upstreams of a release that was rolled back may still be there when its order is gone.
     */
    private List<UpstreamRule> rulesWithoutOrder(String service) {
        UpstreamRule any = (upstream, j, t) -> true;
        Optional<String> rolledBack = record.rolledBackRelease(service);
        if (rolledBack.isEmpty()) {
            return List.of(any);
        }
        return List.of(UpstreamRules.notOfRelease(rolledBack.get()), any);
    }

    void onSend(Send send, Job job, long nowNanos) {
        recordSession(send, job, nowNanos);
        evidenceLog.onSend(send, orderOf(send));
    }

    /**
     * Counts the outcome of a send.
     *
     * @param running requests that its upstream ran
     */
    void onSendEnd(SendReport report, Job job, int running, long nowNanos) {
        recordSession(report.send(), job, nowNanos);
        evidenceLog.onSendEnd(report, job.firstAttemptOf(), running, orderOf(report.send()));
    }

    /**
     * Records the mean gap so far between the events of a running stream.
     *
     * @param running requests that its upstream runs
     */
    void onStreamProgress(Send send, Duration gap, int running) {
        evidenceLog.onStreamProgress(send, gap, running, orderOf(send));
    }

    private void recordSession(Send send, Job job, long nowNanos) {
        String release = send.upstream().release();
        job.sessionId()
                .ifPresent(
                        session -> pins.recordRelease(job.service(), session, release, nowNanos));
    }

    private Optional<RollOut> orderOf(Send send) {
        return record.order(send.upstream().service());
    }

    /** Selects by hash, so that all routers that a session may reach agree. */
    private boolean isSelectedToMove(
            RollOut order, Optional<TrafficMove> move, Job job, long nowNanos) {
        String name = job.sessionId().orElse(job.request().id());
        double movedShare =
                move.map(m -> TrafficMoveSchedule.movedShare(order, m, nowNanos)).orElse(0.0);
        return Hashes.fraction(name + '#' + order.revision())
                < Math.max(movedShare, SELECTED_SESSIONS_FACTOR * limits.exposureShare());
    }

    /** Whether this router may send more requests to the new release before the move. */
    private boolean mayExposeMore(RollOut order, int routerCount, long nowNanos) {
        if (elapsedFraction(order, nowNanos) >= 1) {
            return false;
        }
        RollOutEvidence evidence = evidenceLog.own(order.service());
        return evidence.fresh().sends()
                < limits.exposureShare() * evidence.sends()
                        + limits.extraExposedSends() / routerCount;
    }

    private static double elapsedFraction(RollOut order, long nowNanos) {
        return (double) order.elapsed(nowNanos).toNanos() / order.duration().toNanos();
    }
}
