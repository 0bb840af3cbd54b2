package org.wigeonferry.router;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.routing.ReleaseEvidence;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutEvidence;
import org.wigeonferry.routing.RollOutState;
import org.wigeonferry.routing.RollOutTracker;

/**
 * Decides roll-outs by their evidence, and reports what is new to the store.
 *
 * <p>Owned by the control thread.
 */
final class RollOutMonitor {
    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final RollOutTracker rollOuts;
    private final StoreReporters reporters;

    RollOutMonitor(RollOutTracker rollOuts, StoreReporters reporters) {
        this.rollOuts = rollOuts;
        this.reporters = reporters;
    }

    /** Decides the state and the traffic move of each roll-out, and reports what is new. */
    void decide(long nowNanos) {
        for (RollOut rollOut : rollOuts.orders()) {
            rollOuts.nextState(rollOut, nowNanos)
                    .ifPresent(next -> report(rollOut, next, nowNanos));
            if (rollOuts.shouldStartMove(rollOut, nowNanos)) {
                reporters.moves().report(rollOut, rollOuts.move(rollOut.service()), nowNanos);
            }
        }
    }

    /** This router's evidence of the new releases in running roll-outs, by service. */
    Map<String, ReleaseEvidence> ownEvidenceOfNewReleases() {
        Map<String, ReleaseEvidence> evidenceByService = new HashMap<>();
        Map<String, RollOutEvidence> evidence = rollOuts.ownEvidence();
        for (RollOut rollOut : rollOuts.orders()) {
            if (!isFinished(rollOut)) {
                evidenceByService.put(rollOut.service(), evidence.get(rollOut.service()).fresh());
            }
        }
        return evidenceByService;
    }

    boolean isRollOutRunning() {
        return rollOuts.orders().stream().anyMatch(rollOut -> !isFinished(rollOut));
    }

    private boolean isFinished(RollOut rollOut) {
        return rollOuts.state(rollOut).filter(s -> s != RollOutState.RUNNING).isPresent();
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
