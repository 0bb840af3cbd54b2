package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RollOutGatesTest {
    private static final VersionEvidence GOOD = new VersionEvidence(1000, 5, 1000, 700);

    private final RollOutGate gate = RollOutGates.evidenceBased(50, 0.03, 0.02);

    @Test
    void holdsWithoutEvidence() {
        assertThat(gate.decide(VersionEvidence.NONE, GOOD)).isEqualTo(RollOutDecision.HOLD);
    }

    @Test
    void advancesAnEqualVersion() {
        assertThat(gate.decide(new VersionEvidence(60, 0, 60, 42), GOOD))
                .isEqualTo(RollOutDecision.ADVANCE);
    }

    @Test
    void holdsAnEqualVersionOnFewSamples() {
        assertThat(gate.decide(new VersionEvidence(49, 0, 49, 34), GOOD))
                .isEqualTo(RollOutDecision.HOLD);
    }

    @Test
    void pullsBackAVersionThatRatesMuchLowerOnFewSamples() {
        assertThat(gate.decide(new VersionEvidence(12, 0, 12, 3), GOOD))
                .isEqualTo(RollOutDecision.PULL_BACK);
    }

    @Test
    void pullsBackAVersionThatFails() {
        assertThat(gate.decide(new VersionEvidence(6, 4, 6, 4.2), GOOD))
                .isEqualTo(RollOutDecision.PULL_BACK);
    }

    @Test
    void oneErrorIsNotClear() {
        assertThat(gate.decide(new VersionEvidence(9, 1, 9, 6.3), GOOD))
                .isEqualTo(RollOutDecision.HOLD);
    }

    @Test
    void fixedStepsLookAtNothing() {
        assertThat(RollOutGates.sampleCountBased(5).decide(new VersionEvidence(0, 5, 0, 0), GOOD))
                .isEqualTo(RollOutDecision.ADVANCE);
    }
}
