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
 * Control state of an agent: the attempts in flight and the inputs of their admission rules.
 *
 * <p>Not thread safe; owned by the control thread.
 */
final class Admission {
    private static final Logger LOG = LoggerFactory.getLogger(Admission.class);

    private final ControlState state;
    private final ColdStartRamp ramp;
    private final AttemptAdmission attempts;
    private boolean stopping;
    private boolean hostDraining;
    private Runnable onIdle = () -> {};

    Admission(ControlState state, Settings settings) {
        this.state = state;
        // AttemptAdmission sets the maximum to that of the upstream in the catalog.
        this.ramp =
                new ColdStartRamp(
                        /* maxLimit= */ 1,
                        settings.value(AgentKeys.FIRST_TOKENS_PER_INCREASE),
                        settings.value(AgentKeys.SLOW_FIRST_TOKEN),
                        settings.value(AgentKeys.EVIDENCE_LIFETIME));
        this.attempts =
                new AttemptAdmission(
                        new UpstreamId(settings.value(AgentKeys.UPSTREAM)),
                        AdmissionRules.all(),
                        ramp,
                        state.suspects());
    }

    Optional<Refusal> admit(StartOrder order) {
        long now = System.nanoTime();
        AdmissionInputs inputs =
                new AdmissionInputs(
                        state.catalog(), state.checkFreshness(now), stopping, hostDraining);
        return attempts.admit(order, inputs, now);
    }

    void onFirstToken(StartOrder order, Duration latency) {
        attempts.onFirstToken(order, latency, System.nanoTime());
    }

    void registerAnswerPosition(StartOrder order, LongSupplier answerBytes) {
        attempts.registerAnswerPosition(order, answerBytes);
    }

    AgentLoad onAttemptFinished(StartOrder order) {
        attempts.onAttemptFinished(order);
        runOnIdleIfDrained();
        return currentLoad();
    }

    void onAttemptCancelled(StartOrder order) {
        attempts.onAttemptCancelled(order);
        runOnIdleIfDrained();
    }

    /** Records that the upstream crashed; returns the requests suspected as the cause. */
    List<Suspicion> onUpstreamCrash() {
        List<Suspicion> suspicions = attempts.onUpstreamCrash(System.nanoTime());
        LOG.atWarn().addKeyValue("suspects", suspicions.size()).log("engine lost");
        runOnIdleIfDrained();
        return suspicions;
    }

    /** Tells whether the attempt is in flight and was admitted after the last upstream crash. */
    boolean isInFlight(StartOrder order) {
        return attempts.isInFlightSinceLastCrash(order);
    }

    /** Tells whether the order's request is known to crash upstreams. */
    boolean isPoison(StartOrder order) {
        return state.suspects().isPoison(order.requestDigest(), System.nanoTime());
    }

    AgentLoad currentLoad() {
        return new AgentLoad(attempts.inFlightCount(), ramp.currentLimit(System.nanoTime()));
    }

    void onHostDraining(boolean draining) {
        hostDraining = draining;
    }

    /** Refuses every order from now on; runs the action once no attempt is in flight. */
    void refuseNewAndRunWhenIdle(Runnable action) {
        stopping = true;
        onIdle = action;
        runOnIdleIfDrained();
    }

    private void runOnIdleIfDrained() {
        if (stopping && attempts.inFlightCount() == 0) {
            onIdle.run();
        }
    }
}
