package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WaitQuantileTest {
    private static final int WAITS = 4000;

    private static final Duration INITIAL = Duration.ofMillis(1500);

    private final WaitQuantile quantile = new WaitQuantile(INITIAL);

    @Test
    void isExceededByFiveOf100Waits() {
        for (long seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            WaitQuantile estimate = new WaitQuantile(INITIAL);
            int exceeded = 0;
            for (int i = 0; i < WAITS; i++) {
                Duration wait =
                        Duration.ofMillis((long) (400 - 900 * Math.log(1 - random.nextDouble())));
                exceeded += wait.compareTo(estimate.value()) > 0 ? 1 : 0;
                estimate.record(wait);
            }
            assertThat((double) exceeded / WAITS).as("seed %d", seed).isBetween(0.03, 0.07);
        }
    }

    @Test
    void stepOfTheLoadIsFollowedWithinTwentySends() {
        for (int i = 0; i < WAITS; i++) {
            quantile.record(Duration.ofMillis(50));
        }
        assertThat(quantile.value()).isEqualTo(Duration.ofMillis(300));
        for (int i = 0; i < 20; i++) {
            quantile.record(Duration.ofSeconds(4));
        }
        assertThat(quantile.value()).isGreaterThan(Duration.ofSeconds(4));
    }

    @Test
    void sendThatWasGivenUpNeverLowersTheEstimate() {
        Duration before = quantile.value();
        quantile.recordGivenUp(Duration.ofMillis(10));
        assertThat(quantile.value()).isEqualTo(before);
        quantile.recordGivenUp(Duration.ofSeconds(10));
        assertThat(quantile.value()).isGreaterThan(before);
    }
}
