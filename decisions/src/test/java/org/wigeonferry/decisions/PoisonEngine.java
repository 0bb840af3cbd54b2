package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.StartOrder;

/** An engine behind its gate; all gates hear of suspicions at once. */
final class PoisonEngine {
    private final ColdStartRamp ramp =
            new ColdStartRamp(8, 4, Duration.ofMillis(100), Duration.ofHours(1));
    private final AgentGate gate;
    private final Deque<StartOrder> running = new ArrayDeque<>();

    PoisonEngine(SuspectRegister suspects) {
        gate = new AgentGate(GateFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);
        warmUp();
    }

    Optional<Refusal> admit(StartOrder order) {
        Optional<Refusal> refusal =
                gate.admit(order, new GateSituation(GateFixtures.catalog(), true, false, false), 0);
        if (refusal.isEmpty()) {
            running.add(order);
        }
        return refusal;
    }

    void crash() {
        gate.onEngineLost(0);
        running.forEach(gate::onCancelled);
        running.clear();
        warmUp();
    }

    void finishOne() {
        Optional.ofNullable(running.poll()).ifPresent(gate::onFinished);
    }

    private void warmUp() {
        for (int i = 0; i < 100; i++) {
            ramp.onFirstToken(Duration.ofMillis(1), 8, 0);
        }
    }
}
