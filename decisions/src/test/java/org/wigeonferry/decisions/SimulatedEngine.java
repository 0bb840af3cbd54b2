package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.StartOrder;

/** An engine behind its gate; all gates hear of suspicions at once. */
final class SimulatedEngine {
    private final ColdStartRamp ramp =
            new ColdStartRamp(8, 4, Duration.ofMillis(100), Duration.ofHours(1));
    private final AttemptAdmission gate;
    private final Deque<StartOrder> running = new ArrayDeque<>();

    SimulatedEngine(SuspectRegister suspects) {
        gate =
                new AttemptAdmission(
                        AdmissionFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);
        warmUp();
    }

    Optional<Refusal> admit(StartOrder order) {
        Optional<Refusal> refusal =
                gate.admit(
                        order,
                        new AdmissionInputs(AdmissionFixtures.catalog(), true, false, false),
                        0);
        if (refusal.isEmpty()) {
            running.add(order);
        }
        return refusal;
    }

    void crash() {
        gate.onEngineLost(0);
        running.forEach(gate::onAttemptCancelled);
        running.clear();
        warmUp();
    }

    void finishOldestAttempt() {
        Optional.ofNullable(running.poll()).ifPresent(gate::onAttemptFinished);
    }

    private void warmUp() {
        for (int i = 0; i < 100; i++) {
            ramp.onFirstToken(Duration.ofMillis(1), 8, 0);
        }
    }
}
