package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class GapTrendTest {
    private final GapTrend trend = new GapTrend();

    @Test
    void isUnknownAtFirst() {
        trend.add(4, Duration.ofMillis(10));
        assertThat(trend.logRatio(4, Duration.ofMillis(10))).isEmpty();
    }

    @Test
    void expectsSmallerGapsOfIdleUpstreams() {
        for (int i = 0; i < 100; i++) {
            int running = 10 + i % 50;
            trend.add(running, Duration.ofMillis(8 + running));
        }
        assertThat(trend.logRatio(2, Duration.ofMillis(10)).orElseThrow()).isCloseTo(0, within(.1));
    }

    @Test
    void loadThatHardlyVariesTellsNoGrowth() {
        for (int i = 0; i < 100; i++) {
            trend.add(20 + i % 2, Duration.ofMillis(10 + 5 * (i % 2)));
        }
        double atSameLoad = trend.logRatio(20, Duration.ofMillis(12)).orElseThrow();
        assertThat(trend.logRatio(60, Duration.ofMillis(12)).orElseThrow()).isEqualTo(atSameLoad);
    }

    @Test
    void largerGapsAtLessLoadAreNoTrend() {
        for (int i = 0; i < 100; i++) {
            trend.add(i % 50, Duration.ofMillis(100 - i % 50));
        }
        double idle = trend.logRatio(0, Duration.ofMillis(50)).orElseThrow();
        assertThat(trend.logRatio(50, Duration.ofMillis(50)).orElseThrow()).isEqualTo(idle);
    }
}
