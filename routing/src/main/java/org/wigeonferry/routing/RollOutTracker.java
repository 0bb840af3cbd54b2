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
    private final SessionPins pins;
    private final ReleaseEvidenceLog evidenceLog = new ReleaseEvidenceLog();
    private final RollOutRecord record = new RollOutRecord();
    private final ReleaseRules releaseRules;
    private boolean storedRecordRead;

    RollOutTracker(RoutingLimits limits) {
        pins = new SessionPins(limits.sessionTtl());
        releaseRules = new ReleaseRules(limits, record, evidenceLog, pins);
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

    /**
     * Records that the store has come back from an older copy, so that orders, states and moves may
     * be lost until they are written again.
     */
    public void onStoreRestored(long nowNanos) {
        record.onStoreRestored(nowNanos);
    }

    /** Starts a roll-out, unless this order or a newer one is known. */
    public void onRollOutOrdered(RollOut order) {
        Optional<RollOut> before = record.order(order.service());
        if (record.applyOrder(order)) {
            evidenceLog.start(order);
            return;
        }
        long revision = record.order(order.service()).orElseThrow().revision();
        before.ifPresent(known -> evidenceLog.onOrderRewritten(known, revision));
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

    /** Records that the store holds no status of a service. */
    public void removeStatus(String service) {
        record.removeStatus(service);
    }

    /** Records that the store holds no traffic move of a service. */
    public void removeMove(String service) {
        record.removeMove(service);
    }

    /** The traffic move of an order, if the store has lost it. */
    public Optional<TrafficMove> lostMove(RollOut order) {
        return record.lostMoveOf(order);
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

    /** Whether a roll-out is running, by its order or by its status, whichever was read first. */
    public boolean isAnyRunning() {
        return record.hasRunningStatus()
                || record.orders().stream().anyMatch(order -> !isFinished(order));
    }

    /** Whether an order is completed or rolled back. */
    public boolean isFinished(RollOut order) {
        return state(order).filter(s -> s != RollOutState.RUNNING).isPresent();
    }

    /** Whether a new release of a service is being tried. */
    boolean isRollOutRunning(String service) {
        return record.order(service).filter(order -> !isFinished(order)).isPresent();
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
            return record.isStateStored(order) ? Optional.empty() : state(order);
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
        return releaseRules.of(job, storedRecordRead, routerCount, nowNanos);
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
        evidenceLog.onSendEnd(
                report, job.firstAttemptOf(report.send()), running, orderOf(report.send()));
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
}
