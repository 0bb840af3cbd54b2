package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ColdStartRampTest {
    private static final Duration SLOW = Duration.ofMillis(100);
    private static final Duration GOOD = Duration.ofMillis(10);
    private static final Duration EVIDENCE = Duration.ofSeconds(10);

    private final ColdStartRamp ramp = new ColdStartRamp(8, 4, SLOW, EVIDENCE);

    @Test
    void startsAtOne() {
        assertThat(ramp.currentLimit(0)).isEqualTo(1);
    }

    @Test
    void timeAloneNeverRaisesTheLimit() {
        assertThat(ramp.currentLimit(Duration.ofHours(1).toNanos())).isEqualTo(1);
    }

    @Test
    void goodAnswersNearTheLimitRaiseIt() {
        good(4, 1);
        assertThat(ramp.currentLimit(0)).isEqualTo(2);
    }

    @Test
    void goodAnswersFarBelowTheLimitDoNot() {
        good(4, 1);
        good(4, 2);
        good(4, 3);
        good(100, 0);
        assertThat(ramp.currentLimit(0)).isEqualTo(4);
    }

    @Test
    void slowFirstTokenHalvesTheLimit() {
        good(100, 8);
        ramp.onFirstToken(SLOW.plusMillis(1), 8, 0);
        assertThat(ramp.currentLimit(0)).isEqualTo(4);
    }

    @Test
    void lossOfTheEngineStartsAnew() {
        good(100, 8);
        ramp.onColdStart(0);
        assertThat(ramp.currentLimit(0)).isEqualTo(1);
    }

    @Test
    void withoutEvidenceTheLimitFalls() {
        good(100, 8);
        assertThat(ramp.currentLimit(EVIDENCE.toNanos())).isEqualTo(8);
        assertThat(ramp.currentLimit(EVIDENCE.toNanos() + 1)).isEqualTo(2);
    }

    @Test
    void neverRisesAboveTheMaximum() {
        good(1000, 8);
        assertThat(ramp.currentLimit(0)).isEqualTo(8);
    }

    private void good(int count, int inFlight) {
        for (int i = 0; i < count; i++) {
            ramp.onFirstToken(GOOD, inFlight, 0);
        }
    }
}
