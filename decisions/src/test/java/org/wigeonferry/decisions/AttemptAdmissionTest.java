package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.StartOrder;

class AttemptAdmissionTest {
    private static final AdmissionInputs SITUATION =
            new AdmissionInputs(AdmissionFixtures.catalog(), true, false, false);

    private final ColdStartRamp ramp =
            new ColdStartRamp(8, 4, Duration.ofMillis(100), Duration.ofHours(1));
    private final SuspectRegister suspects = new SuspectRegister(100, Duration.ofHours(1));
    private final AttemptAdmission gate =
            new AttemptAdmission(
                    AdmissionFixtures.upstream().id(), AdmissionRules.all(), ramp, suspects);

    @Test
    void coldEngineGetsOneAttempt() {
        assertThat(admit("r1", false)).isTrue();
        assertThat(admit("r2", false)).isFalse();
    }

    @Test
    void finishedAttemptMakesRoom() {
        admit("r1", false);
        gate.onAttemptFinished(order("r1", false));
        assertThat(admit("r2", false)).isTrue();
    }

    @Test
    void attemptFinishedTwiceIsCountedOnce() {
        warm();
        admit("r1", false);
        admit("r2", false);
        gate.onAttemptFinished(order("r1", false));
        gate.onAttemptFinished(order("r1", false));
        assertThat(gate.inFlightCount()).isEqualTo(1);
    }

    @Test
    void crashThatTheSenderSawCountsTowardsCondemnation() {
        warm();
        admit("poison", true);
        admit("innocent", false);
        List<Suspicion> suspicions = gate.onEngineLost(0);
        assertThat(suspicions)
                .filteredOn(Suspicion::poison)
                .extracting(Suspicion::digest)
                .containsExactly("poison");
    }

    @Test
    void attemptCutByALossCountsUntilItEnds() {
        admit("r1", false);
        gate.onEngineLost(0);
        assertThat(admit("r2", false)).isFalse();
        gate.onAttemptCancelled(order("r1", false));
        assertThat(admit("r2", false)).isTrue();
    }

    @Test
    void attemptCutByALossMayStillBeAnsweredByTheEngineThatCameBack() {
        admit("r1", false);
        gate.onEngineLost(0);
        gate.onAttemptFinished(order("r1", false));
        assertThat(gate.inFlightCount()).isZero();
        assertThat(suspects.isSuspected("r1", 0)).isTrue();
    }

    @Test
    void firstTokensOfBeforeALossDoNotRaiseTheLimit() {
        warm();
        for (int i = 0; i < 8; i++) {
            admit("r" + i, false);
        }
        gate.onEngineLost(0);
        for (int i = 0; i < 8; i++) {
            gate.onFirstToken(order("r" + i, false), Duration.ofMillis(1), 0);
            gate.onAttemptCancelled(order("r" + i, false));
        }
        assertThat(ramp.currentLimit(0)).isEqualTo(1);
    }

    private void warm() {
        for (int i = 0; i < 100; i++) {
            ramp.onFirstToken(Duration.ofMillis(1), 8, 0);
        }
    }

    private boolean admit(String id, boolean suspect) {
        return gate.admit(order(id, suspect), SITUATION, 0).isEmpty();
    }

    private static StartOrder order(String id, boolean suspect) {
        return AdmissionFixtures.order()
                .requestId(new RequestId(id))
                .requestDigest(id)
                .suspected(suspect)
                .build();
    }
}
