package org.wigeonferry.entry;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.RowCondition;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.decisions.RollOutDecision;
import org.wigeonferry.decisions.RollOutGate;
import org.wigeonferry.decisions.RollOuts;
import org.wigeonferry.decisions.VersionEvidence;
import org.wigeonferry.decisions.VersionEvidenceTotals;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.settings.ReleaseNoteParser;

/**
 * Advances roll-outs step by step, and rolls back a bad version automatically. A step is an
 * exposure: the percentage of requests that may be routed to the new version.
 *
 * <p>Only the process with the roll-out lease changes anything, and its release notes are committed
 * on condition that it still has the lease. The exposure is stored in the configuration, so the
 * next lease holder continues from there, but counts the evidence of the current step from the
 * moment when it first checks that step. Thread safe; state is accessed on the control thread only.
 */
final class RollOutDriver {
    private static final Logger LOG = LoggerFactory.getLogger(RollOutDriver.class);
    private static final int FULL_EXPOSURE_PERCENT = 100;

    private final ControlExecutor control;
    private final ControlState state;
    private final VersionEvidenceTotals evidence;
    private final LeaseKeeper leaseKeeper;
    private final BiFunction<ReleaseNote, RowCondition, CompletableFuture<CommitResult>> commit;
    private final RollOutGate gate;
    private final List<Integer> exposurePercents;
    private final Map<VersionId, RollOutStepStart> stepStarts = new HashMap<>();
    private boolean checkInProgress;

    RollOutDriver(
            ControlExecutor control,
            ControlState state,
            LeaseKeeper leaseKeeper,
            BiFunction<ReleaseNote, RowCondition, CompletableFuture<CommitResult>> commit,
            RollOutGate gate,
            List<Integer> exposurePercents) {
        this.control = control;
        this.state = state;
        this.evidence = state.evidence();
        this.leaseKeeper = leaseKeeper;
        this.commit = commit;
        this.gate = gate;
        this.exposurePercents = List.copyOf(exposurePercents);
    }

    /** Starts to check all roll-outs periodically. */
    void start(Duration checkPeriod) {
        control.scheduleWithFixedDelay(checkPeriod, this::checkRollOuts);
    }

    private void checkRollOuts() {
        List<ModelVersion> inProgress = RollOuts.partiallyExposedVersions(state.catalog());
        stepStarts.keySet().retainAll(inProgress.stream().map(ModelVersion::id).toList());
        if (inProgress.isEmpty() || checkInProgress) {
            return;
        }
        checkInProgress = true;
        leaseKeeper
                .tryAcquireOrRenew()
                .thenCompose(
                        leaseCondition ->
                                control.submit(() -> onLeaseResult(leaseCondition))
                                        .thenCompose(done -> done))
                .whenComplete((done, failure) -> control.execute(() -> checkInProgress = false));
    }

    private CompletableFuture<Boolean> onLeaseResult(Optional<RowCondition> leaseCondition) {
        if (leaseCondition.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        Catalog catalog = state.catalog();
        for (ModelVersion version : RollOuts.partiallyExposedVersions(catalog)) {
            RollOutDecision decision = decide(version, catalog);
            if (decision != RollOutDecision.HOLD) {
                return commitDecision(version, decision, leaseCondition.get());
            }
        }
        return CompletableFuture.completedFuture(true);
    }

    private RollOutDecision decide(ModelVersion version, Catalog catalog) {
        VersionEvidence total = evidence.total(version.id());
        RollOutStepStart start = stepStarts.get(version.id());
        if (start == null || start.exposurePercent() != version.exposurePercent()) {
            start = new RollOutStepStart(version.exposurePercent(), total);
            stepStarts.put(version.id(), start);
        }
        VersionEvidence baseline =
                RollOuts.baseline(version, catalog)
                        .map(baselineVersion -> evidence.total(baselineVersion.id()))
                        .orElse(VersionEvidence.NONE);
        return gate.decide(total.minus(start.evidenceAtStart()), baseline);
    }

    private CompletableFuture<Boolean> commitDecision(
            ModelVersion version, RollOutDecision decision, RowCondition leaseCondition) {
        int exposurePercent =
                decision == RollOutDecision.PULL_BACK
                        ? 0
                        : nextExposurePercent(version.exposurePercent());
        LOG.atWarn()
                .addKeyValue("version", version.id())
                .addKeyValue("step", decision)
                .addKeyValue("exposure", exposurePercent)
                .log("roll-out moves");
        try {
            return commit.apply(createNote(version, decision, exposurePercent), leaseCondition)
                    .thenApply(result -> true);
        } catch (ReleaseNoteException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private int nextExposurePercent(int exposurePercent) {
        return exposurePercents.stream()
                .filter(percent -> percent > exposurePercent)
                .findFirst()
                .orElse(FULL_EXPOSURE_PERCENT);
    }

    private ReleaseNote createNote(
            ModelVersion version, RollOutDecision decision, int exposurePercent)
            throws ReleaseNoteException {
        long baseRevision = state.catalog().revision().number();
        return ReleaseNoteParser.parse(
                "[note]\noperation = rollout-"
                        + version.id()
                        + "-"
                        + baseRevision
                        + "-"
                        + exposurePercent
                        + "\nauthor = roll-out driver "
                        + state.identity().node()
                        + "\nreason = "
                        + decision
                        + "\nbase = "
                        + baseRevision
                        + "\n[version "
                        + version.id()
                        + "]\nexposure-percent = "
                        + exposurePercent
                        + "\n");
    }
}
