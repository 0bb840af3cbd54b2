package org.wigeonferry.routing.prediction;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class RelativeTimeTest {
    private static final long SECOND = 1_000_000_000L;

    private final RelativeTime relative = new RelativeTime();

    private void recordResponses(int count, double trueFactor) {
        for (int i = 0; i < count; i++) {
            relative.record(trueFactor / relative.factor(0), 0);
        }
    }

    @Test
    void findsTheSpeedOfASlowUpstream() {
        recordResponses(50, 1.6);
        assertThat(relative.factor(0)).isCloseTo(1.6, within(0.05));
        assertThat(relative.error()).isLessThan(0.1);
    }

    /** One late response must not make an upstream look unusable. */
    @Test
    void oneResponseIsLimited() {
        recordResponses(50, 1);
        relative.record(1e12, 0);
        assertThat(relative.factor(0)).isBetween(1.0, 1.3);
    }

    @Test
    void anyResponsesLeaveTheFactorWithinItsLimits() {
        for (double ratio : new double[] {1e12, 1e-12}) {
            for (int i = 0; i < 1000; i++) {
                relative.record(ratio, 0);
            }
            assertThat(relative.factor(0)).isBetween(1 / RelativeTime.MAX, RelativeTime.MAX);
        }
    }

    /** An upstream that was once taken for slow got no request that could show otherwise. */
    @Test
    void factorReturnsToTheTypicalOneWithoutResponses() {
        recordResponses(50, 4);
        assertThat(relative.factor(20 * SECOND)).isCloseTo(4, within(0.2));
        for (int second = 20; second < 120; second++) {
            relative.factor(second * SECOND);
        }
        assertThat(relative.factor(120 * SECOND)).isBetween(1.0, 1.1);
    }
}
