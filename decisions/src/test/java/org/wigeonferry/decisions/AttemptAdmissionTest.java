package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.StartOrder;

class AttemptAdmissionTest {
    private static final AdmissionInputs INPUTS =
            new AdmissionInputs(
                    AdmissionFixtures.catalog(),
                    /* configUpToDate= */ true,
                    /* stopping= */ false,
                    /* hostDraining= */ false);

    private final ColdStartRamp ramp =
            new ColdStartRamp(
                    /* maxLimit= */ 8,
                    /* firstTokensPerIncrease= */ 4,
                    Duration.ofMillis(100),
                    Duration.ofHours(1));
    private final SuspectRegister suspects = new SuspectRegister(100, Duration.ofHours(1));
    private final AttemptAdmission admission =
            new AttemptAdmission(
                    AdmissionFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);

    @Test
    void coldEngineGetsOneAttempt() {
        assertThat(admit("r1", /* suspected= */ false)).isTrue();
        assertThat(admit("r2", /* suspected= */ false)).isFalse();
    }

    @Test
    void finishedAttemptFreesItsSlot() {
        admit("r1", /* suspected= */ false);
        admission.onAttemptFinished(order("r1", /* suspected= */ false));
        assertThat(admit("r2", /* suspected= */ false)).isTrue();
    }

    @Test
    void attemptReportedFinishedTwiceIsSubtractedOnce() {
        warmUp();
        admit("r1", /* suspected= */ false);
        admit("r2", /* suspected= */ false);
        admission.onAttemptFinished(order("r1", /* suspected= */ false));
        admission.onAttemptFinished(order("r1", /* suspected= */ false));
        assertThat(admission.inFlightCount()).isEqualTo(1);
    }

    @Test
    void crashSeenByTheSenderCountsForPoisonDetection() {
        warmUp();
        admit("poison", /* suspected= */ true);
        admit("innocent", /* suspected= */ false);
        List<Suspicion> suspicions = admission.onUpstreamCrash(0);
        assertThat(suspicions)
                .filteredOn(Suspicion::poison)
                .extracting(Suspicion::digest)
                .containsExactly("poison");
    }

    @Test
    void attemptInFlightAtACrashCountsUntilItEnds() {
        admit("r1", /* suspected= */ false);
        admission.onUpstreamCrash(0);
        assertThat(admit("r2", /* suspected= */ false)).isFalse();
        admission.onAttemptCancelled(order("r1", /* suspected= */ false));
        assertThat(admit("r2", /* suspected= */ false)).isTrue();
    }

    @Test
    void attemptInFlightAtACrashMayBeAnsweredByTheRestartedEngine() {
        admit("r1", /* suspected= */ false);
        admission.onUpstreamCrash(0);
        admission.onAttemptFinished(order("r1", /* suspected= */ false));
        assertThat(admission.inFlightCount()).isZero();
        assertThat(suspects.isSuspected("r1", 0)).isTrue();
    }

    @Test
    void firstTokensOfAttemptsBeforeACrashDoNotRaiseTheLimit() {
        warmUp();
        for (int i = 0; i < 8; i++) {
            admit("r" + i, /* suspected= */ false);
        }
        admission.onUpstreamCrash(0);
        for (int i = 0; i < 8; i++) {
            admission.onFirstToken(order("r" + i, /* suspected= */ false), Duration.ofMillis(1), 0);
            admission.onAttemptCancelled(order("r" + i, /* suspected= */ false));
        }
        assertThat(ramp.currentLimit(0)).isEqualTo(1);
    }

    private void warmUp() {
        for (int i = 0; i < 100; i++) {
            ramp.onFirstToken(Duration.ofMillis(1), 8, 0);
        }
    }

    private boolean admit(String id, boolean suspected) {
        return admission.admit(order(id, suspected), INPUTS, 0).isEmpty();
    }

    private static StartOrder order(String id, boolean suspected) {
        return AdmissionFixtures.order()
                .requestId(new RequestId(id))
                .requestDigest(id)
                .suspected(suspected)
                .build();
    }
}
