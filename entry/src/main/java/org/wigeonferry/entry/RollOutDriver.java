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
 * Drives roll-outs from step to step, and pulls a bad version back without a person.
 *
 * <p>Only the holder of the lease changes anything; its notes are committed on condition that the
 * lease is still its own. All state of a roll-out is in the configuration, so the next holder goes
 * on where the last one stopped, with fresh evidence for the present step. Thread safe; state is
 * touched on the control thread only.
 */
final class RollOutDriver {
    private static final Logger LOG = LoggerFactory.getLogger(RollOutDriver.class);
    private static final int ALL = 100;

    private final ControlExecutor control;
    private final ControlState state;
    private final VersionEvidenceTotals evidence;
    private final LeaseKeeper lease;
    private final BiFunction<ReleaseNote, RowCondition, CompletableFuture<CommitResult>> commit;
    private final RollOutGate gate;
    private final List<Integer> steps;
    private final Map<VersionId, RollOutStepStart> starts = new HashMap<>();
    private boolean busy;

    RollOutDriver(
            ControlExecutor control,
            ControlState state,
            LeaseKeeper lease,
            BiFunction<ReleaseNote, RowCondition, CompletableFuture<CommitResult>> commit,
            RollOutGate gate,
            List<Integer> steps) {
        this.control = control;
        this.state = state;
        this.evidence = state.evidence();
        this.lease = lease;
        this.commit = commit;
        this.gate = gate;
        this.steps = List.copyOf(steps);
    }

    /** Begins to look at roll-outs. */
    void start(Duration period) {
        control.scheduleWithFixedDelay(period, this::look);
    }

    private void look() {
        List<ModelVersion> underWay = RollOuts.partiallyExposedVersions(state.catalog());
        starts.keySet().retainAll(underWay.stream().map(ModelVersion::id).toList());
        if (underWay.isEmpty() || busy) {
            return;
        }
        busy = true;
        lease.tryAcquireOrRenew()
                .thenCompose(held -> control.submit(() -> onLease(held)).thenCompose(done -> done))
                .whenComplete((done, failure) -> control.execute(() -> busy = false));
    }

    private CompletableFuture<Boolean> onLease(Optional<RowCondition> held) {
        if (held.isEmpty()) {
            return CompletableFuture.completedFuture(false);
        }
        Catalog catalog = state.catalog();
        for (ModelVersion version : RollOuts.partiallyExposedVersions(catalog)) {
            RollOutDecision step = decide(version, catalog);
            if (step != RollOutDecision.HOLD) {
                return change(version, step, held.get());
            }
        }
        return CompletableFuture.completedFuture(true);
    }

    private RollOutDecision decide(ModelVersion version, Catalog catalog) {
        VersionEvidence total = evidence.total(version.id());
        RollOutStepStart start = starts.get(version.id());
        if (start == null || start.exposurePercent() != version.exposurePercent()) {
            start = new RollOutStepStart(version.exposurePercent(), total);
            starts.put(version.id(), start);
        }
        VersionEvidence baseline =
                RollOuts.baseline(version, catalog)
                        .map(other -> evidence.total(other.id()))
                        .orElse(VersionEvidence.NONE);
        return gate.decide(total.minus(start.evidenceAtStart()), baseline);
    }

    private CompletableFuture<Boolean> change(
            ModelVersion version, RollOutDecision step, RowCondition held) {
        int exposure = step == RollOutDecision.PULL_BACK ? 0 : next(version.exposurePercent());
        LOG.atWarn()
                .addKeyValue("version", version.id())
                .addKeyValue("step", step)
                .addKeyValue("exposure", exposure)
                .log("roll-out moves");
        try {
            return commit.apply(note(version, step, exposure), held).thenApply(result -> true);
        } catch (ReleaseNoteException e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    private int next(int exposure) {
        return steps.stream().filter(step -> step > exposure).findFirst().orElse(ALL);
    }

    private ReleaseNote note(ModelVersion version, RollOutDecision step, int exposure)
            throws ReleaseNoteException {
        long base = state.catalog().revision().number();
        return ReleaseNoteParser.parse(
                "[note]\noperation = rollout-"
                        + version.id()
                        + "-"
                        + base
                        + "-"
                        + exposure
                        + "\nauthor = roll-out driver "
                        + state.identity().node()
                        + "\nreason = "
                        + step
                        + "\nbase = "
                        + base
                        + "\n[version "
                        + version.id()
                        + "]\nexposure-percent = "
                        + exposure
                        + "\n");
    }
}
