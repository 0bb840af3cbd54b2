package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RollOutGatesTest {
    private static final VersionEvidence BASELINE =
            new VersionEvidence(
                    /* answers= */ 1000,
                    /* errors= */ 5,
                    /* ratingCount= */ 1000,
                    /* ratingSum= */ 700);

    private final RollOutGate gate =
            RollOutGates.evidenceBased(
                    /* minSamples= */ 50, /* maxRatingLoss= */ 0.03, /* maxErrorRateRise= */ 0.02);

    @Test
    void holdsWithoutEvidence() {
        assertThat(gate.decide(VersionEvidence.NONE, BASELINE)).isEqualTo(RollOutDecision.HOLD);
    }

    @Test
    void advancesAnEqualVersion() {
        assertThat(gate.decide(new VersionEvidence(60, 0, 60, 42), BASELINE))
                .isEqualTo(RollOutDecision.ADVANCE);
    }

    @Test
    void holdsAnEqualVersionUntilItHasEnoughSamples() {
        assertThat(gate.decide(new VersionEvidence(49, 0, 49, 34), BASELINE))
                .isEqualTo(RollOutDecision.HOLD);
    }

    @Test
    void rollsBackAVersionThatRatesMuchLowerAfterFewSamples() {
        assertThat(gate.decide(new VersionEvidence(12, 0, 12, 3), BASELINE))
                .isEqualTo(RollOutDecision.PULL_BACK);
    }

    @Test
    void rollsBackAVersionThatFailsOften() {
        assertThat(gate.decide(new VersionEvidence(6, 4, 6, 4.2), BASELINE))
                .isEqualTo(RollOutDecision.PULL_BACK);
    }

    @Test
    void oneErrorIsNotSignificant() {
        assertThat(gate.decide(new VersionEvidence(9, 1, 9, 6.3), BASELINE))
                .isEqualTo(RollOutDecision.HOLD);
    }

    @Test
    void sampleCountGateIgnoresErrors() {
        assertThat(
                        RollOutGates.sampleCountBased(5)
                                .decide(new VersionEvidence(0, 5, 0, 0), BASELINE))
                .isEqualTo(RollOutDecision.ADVANCE);
    }
}
