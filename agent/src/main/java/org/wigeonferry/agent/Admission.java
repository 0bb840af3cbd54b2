package org.wigeonferry.agent;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.core_types.UpstreamId;
import org.wigeonferry.decisions.AdmissionInputs;
import org.wigeonferry.decisions.AdmissionRules;
import org.wigeonferry.decisions.AttemptAdmission;
import org.wigeonferry.decisions.ColdStartRamp;
import org.wigeonferry.decisions.Suspicion;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.settings.Settings;

/**
 * Control state of an agent: the gate and what it looks at.
 *
 * <p>Not thread safe; owned by the control thread.
 */
final class Admission {
    private static final Logger LOG = LoggerFactory.getLogger(Admission.class);

    private final ControlState state;
    private final ColdStartRamp ramp;
    private final AttemptAdmission gate;
    private boolean stopping;
    private boolean hostLeaving;
    private Runnable whenIdle = () -> {};

    Admission(ControlState state, Settings settings) {
        this.state = state;
        this.ramp =
                new ColdStartRamp(
                        1,
                        settings.value(AgentKeys.FIRST_TOKENS_PER_INCREASE),
                        settings.value(AgentKeys.SLOW_FIRST_TOKEN),
                        settings.value(AgentKeys.EVIDENCE_LIFETIME));
        this.gate =
                new AttemptAdmission(
                        new UpstreamId(settings.value(AgentKeys.UPSTREAM)),
                        AdmissionRules.all(),
                        ramp,
                        state.suspects());
    }

    Optional<Refusal> admit(StartOrder order) {
        long now = System.nanoTime();
        AdmissionInputs situation =
                new AdmissionInputs(
                        state.catalog(), state.checkFreshness(now), stopping, hostLeaving);
        return gate.admit(order, situation, now);
    }

    void onFirstToken(StartOrder order, Duration latency) {
        gate.onFirstToken(order, latency, System.nanoTime());
    }

    void registerAnswerPosition(StartOrder order, LongSupplier position) {
        gate.registerAnswerPosition(order, position);
    }

    AgentLoad onAttemptFinished(StartOrder order) {
        gate.onAttemptFinished(order);
        checkIdle();
        return currentLoad();
    }

    void onAttemptCancelled(StartOrder order) {
        gate.onAttemptCancelled(order);
        checkIdle();
    }

    /** Notes that the engine was lost; returns the suspicions that follow. */
    List<Suspicion> onUpstreamCrash() {
        List<Suspicion> suspicions = gate.onEngineCrash(System.nanoTime());
        LOG.atWarn().addKeyValue("suspects", suspicions.size()).log("engine lost");
        checkIdle();
        return suspicions;
    }

    boolean isInFlight(StartOrder order) {
        return gate.isInFlight(order);
    }

    boolean isPoison(StartOrder order) {
        return state.suspects().isPoison(order.requestDigest(), System.nanoTime());
    }

    AgentLoad currentLoad() {
        return new AgentLoad(gate.inFlightCount(), ramp.currentLimit(System.nanoTime()));
    }

    void onHostDraining(boolean leaving) {
        hostLeaving = leaving;
    }

    /** Admits nothing from now on; runs the action once no attempt is in flight. */
    void refuseNewAndRunWhenIdle(Runnable action) {
        stopping = true;
        whenIdle = action;
        checkIdle();
    }

    private void checkIdle() {
        if (stopping && gate.inFlightCount() == 0) {
            whenIdle.run();
        }
    }
}
