package org.wigeonferry.router;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.routing.ReleaseEvidence;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutEvidence;
import org.wigeonferry.routing.RollOutStart;
import org.wigeonferry.routing.RollOutState;
import org.wigeonferry.routing.RollOutStatus;
import org.wigeonferry.routing.RollOutTracker;
import org.wigeonferry.routing.TrafficMove;

/**
 * Applies what the store holds of roll-outs, decides them by their evidence, and reports what is
 * new to the store.
 *
 * <p>Invariant: nothing is decided before the stored record of all roll-outs has been read; only
 * evidence that shows a release to be bad counts while other evidence may still arrive. Owned by
 * the control thread.
 */
public final class RollOutMonitor {
    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final RollOutTracker rollOuts;
    private final StoreReporters reporters;
    private final EvidenceSettling settling = new EvidenceSettling();
    private boolean statusesRead;
    private boolean reportsRead;

    RollOutMonitor(RollOutTracker rollOuts, StoreReporters reporters) {
        this.rollOuts = rollOuts;
        this.reporters = reporters;
    }

    /** Applies the order to roll out a release. */
    public void onOrdered(RollOut rollOut) {
        rollOuts.onRollOutOrdered(rollOut);
        LOG.atInfo()
                .addKeyValue("service", rollOut.service())
                .addKeyValue("release", rollOut.release())
                .addKeyValue("revision", rollOut.revision())
                .log("roll-out ordered");
    }

    /** Drops the roll-out of a service, whose order was removed. */
    public void onRemoved(String service) {
        rollOuts.onRollOutRemoved(service);
    }

    /** Applies the stored start of a roll-out. */
    public void onStart(RollOutStart start, long nowNanos) {
        rollOuts.applyStart(start);
        LOG.atInfo()
                .addKeyValue("service", start.service())
                .addKeyValue("order", start.orderRevision())
                .addKeyValue("elapsed_ms", (nowNanos - start.startNanos()) / 1_000_000)
                .log("roll-out start");
    }

    /** Applies the stored status of a roll-out. */
    public void onStatus(RollOutStatus status) {
        rollOuts.applyStatus(status);
        LOG.atInfo()
                .addKeyValue("service", status.service())
                .addKeyValue("release", status.release())
                .addKeyValue("state", status.state())
                .log("roll-out state");
    }

    /** Applies the stored start of a traffic move. */
    public void onTrafficMove(TrafficMove move) {
        rollOuts.applyMove(move);
        LOG.atInfo()
                .addKeyValue("service", move.service())
                .addKeyValue("order", move.orderRevision())
                .log("traffic move started");
    }

    /** Records that the stored starts, states and moves of all roll-outs have been read. */
    public void onAllStatusesRead() {
        statusesRead = true;
        noteStoredRecordRead();
    }

    /** Records that the reports of all routers have been read. */
    void onAllReportsRead() {
        reportsRead = true;
        noteStoredRecordRead();
    }

    /** Whether the reports of all routers, with the evidence of earlier lives, have been read. */
    boolean isEvidenceRead() {
        return reportsRead;
    }

    /** Applies the evidence that this router reported before it was restarted. */
    void onOwnEarlierReport(RouterReport report) {
        rollOuts.restoreOwnEvidence(report.evidence());
        LOG.atInfo()
                .addKeyValue("heartbeat", report.heartbeat())
                .addKeyValue("evidence", report.evidence())
                .log("report of an earlier incarnation");
    }

    /** Records that the store holds no status of a service's roll-out. */
    public void onStatusRemoved(String service) {
        rollOuts.removeStatus(service);
    }

    /** Records that the store holds no traffic move of a service. */
    public void onTrafficMoveRemoved(String service) {
        rollOuts.removeMove(service);
    }

    /** Records that the store has come back from an older copy. */
    void onStoreRestored(long nowNanos) {
        rollOuts.onStoreRestored(nowNanos);
        settling.onStoreRecovered(nowNanos);
    }

    /** Records that the store answers again after an outage. */
    void onStoreRecovered(long nowNanos) {
        settling.onStoreRecovered(nowNanos);
    }

    /** Decides the state and the traffic move of each roll-out, and reports what is new. */
    void decide(long nowNanos) {
        settling.onCheck(nowNanos);
        if (!rollOuts.isStoredRecordRead()) {
            return;
        }
        for (RollOut rollOut : rollOuts.orders()) {
            rollOuts.nextState(rollOut, nowNanos)
                    .filter(next -> mayReport(rollOut, next, nowNanos))
                    .ifPresent(next -> report(rollOut, next, nowNanos));
            rollOuts.lostMove(rollOut)
                    .ifPresent(
                            move ->
                                    reporters
                                            .moves()
                                            .report(rollOut, Optional.of(move), move.startNanos()));
            if (settling.isSettled(nowNanos) && rollOuts.shouldStartMove(rollOut, nowNanos)) {
                reporters.moves().report(rollOut, rollOuts.move(rollOut.service()), nowNanos);
            }
        }
    }

    /** This router's evidence of the new releases in running roll-outs, by service. */
    Map<String, ReleaseEvidence> ownEvidenceOfNewReleases() {
        Map<String, ReleaseEvidence> evidenceByService = new HashMap<>();
        Map<String, RollOutEvidence> evidence = rollOuts.ownEvidence();
        for (RollOut rollOut : rollOuts.orders()) {
            if (!rollOuts.isFinished(rollOut)) {
                evidenceByService.put(rollOut.service(), evidence.get(rollOut.service()).fresh());
            }
        }
        return evidenceByService;
    }

    /** Whether a roll-out is running. */
    public boolean isRollOutRunning() {
        return rollOuts.isAnyRunning();
    }

    /** Whether a roll-out is decided soon, so that all evidence should reach all routers. */
    public boolean isDecisionNear(long nowNanos) {
        return rollOuts.isDecisionNear(nowNanos);
    }

    private void noteStoredRecordRead() {
        if (statusesRead && reportsRead) {
            rollOuts.onStoredRecordRead();
        }
    }

    private boolean mayReport(RollOut rollOut, RollOutState next, long nowNanos) {
        return next == RollOutState.RUNNING
                || settling.isSettled(nowNanos)
                || rollOuts.isShownBad(rollOut);
    }

    private void report(RollOut rollOut, RollOutState next, long nowNanos) {
        LOG.atInfo()
                .addKeyValue("service", rollOut.service())
                .addKeyValue("release", rollOut.release())
                .addKeyValue("state", next)
                .addKeyValue("elapsed_ms", rollOut.elapsed(nowNanos).toMillis())
                .addKeyValue("evidence", rollOuts.totalEvidence(rollOut))
                .log("roll-out decided");
        reporters.rollOuts().report(rollOut, next, rollOuts.status(rollOut.service()));
    }
}
