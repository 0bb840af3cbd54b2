package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ColdStartRampTest {
    private static final Duration SLOW_FIRST_TOKEN_THRESHOLD = Duration.ofMillis(100);
    private static final Duration GOOD_FIRST_TOKEN = Duration.ofMillis(10);
    private static final Duration EVIDENCE_LIFETIME = Duration.ofSeconds(10);

    private final ColdStartRamp ramp =
            new ColdStartRamp(
                    /* maxLimit= */ 8,
                    /* firstTokensPerIncrease= */ 4,
                    SLOW_FIRST_TOKEN_THRESHOLD,
                    EVIDENCE_LIFETIME);

    @Test
    void startsWithALimitOfOne() {
        assertThat(ramp.currentLimit(0)).isEqualTo(1);
    }

    @Test
    void timeAloneNeverRaisesTheLimit() {
        assertThat(ramp.currentLimit(Duration.ofHours(1).toNanos())).isEqualTo(1);
    }

    @Test
    void goodFirstTokensNearTheLimitRaiseIt() {
        reportGoodFirstTokens(4, 1);
        assertThat(ramp.currentLimit(0)).isEqualTo(2);
    }

    @Test
    void goodFirstTokensFarBelowTheLimitDoNotRaiseIt() {
        reportGoodFirstTokens(4, 1);
        reportGoodFirstTokens(4, 2);
        reportGoodFirstTokens(4, 3);
        reportGoodFirstTokens(100, 0);
        assertThat(ramp.currentLimit(0)).isEqualTo(4);
    }

    @Test
    void slowFirstTokenHalvesTheLimit() {
        reportGoodFirstTokens(100, 8);
        ramp.onFirstToken(SLOW_FIRST_TOKEN_THRESHOLD.plusMillis(1), 8, 0);
        assertThat(ramp.currentLimit(0)).isEqualTo(4);
    }

    @Test
    void coldStartResetsTheLimitToOne() {
        reportGoodFirstTokens(100, 8);
        ramp.onColdStart(0);
        assertThat(ramp.currentLimit(0)).isEqualTo(1);
    }

    @Test
    void withoutGoodFirstTokensTheLimitFallsToAQuarter() {
        reportGoodFirstTokens(100, 8);
        assertThat(ramp.currentLimit(EVIDENCE_LIFETIME.toNanos())).isEqualTo(8);
        assertThat(ramp.currentLimit(EVIDENCE_LIFETIME.toNanos() + 1)).isEqualTo(2);
    }

    @Test
    void neverRisesAboveTheMaximum() {
        reportGoodFirstTokens(1000, 8);
        assertThat(ramp.currentLimit(0)).isEqualTo(8);
    }

    private void reportGoodFirstTokens(int count, int inFlight) {
        for (int i = 0; i < count; i++) {
            ramp.onFirstToken(GOOD_FIRST_TOKEN, inFlight, 0);
        }
    }
}
