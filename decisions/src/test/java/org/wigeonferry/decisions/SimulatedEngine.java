package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.wigeonferry.core_types.Refusal;
import org.wigeonferry.core_types.StartOrder;

/** An engine with its own attempt admission; all engines share one register of suspicions. */
final class SimulatedEngine {
    private final ColdStartRamp ramp =
            new ColdStartRamp(
                    /* maxLimit= */ 8,
                    /* firstTokensPerIncrease= */ 4,
                    Duration.ofMillis(100),
                    Duration.ofHours(1));
    private final AttemptAdmission admission;
    private final Deque<StartOrder> running = new ArrayDeque<>();

    SimulatedEngine(SuspectRegister suspects) {
        admission =
                new AttemptAdmission(
                        AdmissionFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);
        warmUp();
    }

    Optional<Refusal> admit(StartOrder order) {
        Optional<Refusal> refusal =
                admission.admit(
                        order,
                        new AdmissionInputs(
                                AdmissionFixtures.catalog(),
                                /* configUpToDate= */ true,
                                /* stopping= */ false,
                                /* hostDraining= */ false),
                        0);
        if (refusal.isEmpty()) {
            running.add(order);
        }
        return refusal;
    }

    void crash() {
        admission.onUpstreamCrash(0);
        running.forEach(admission::onAttemptCancelled);
        running.clear();
        warmUp();
    }

    void finishOldestAttempt() {
        Optional.ofNullable(running.poll()).ifPresent(admission::onAttemptFinished);
    }

    private void warmUp() {
        for (int i = 0; i < 100; i++) {
            ramp.onFirstToken(Duration.ofMillis(1), 8, 0);
        }
    }
}
