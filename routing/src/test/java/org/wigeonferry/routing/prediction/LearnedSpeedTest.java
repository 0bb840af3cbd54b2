package org.wigeonferry.routing.prediction;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

class LearnedSpeedTest {
    private static final double REQUEST_NANOS = 8e6;
    private static final double TOKEN_NANOS = 15e3;

    private final LearnedSpeed speed = new LearnedSpeed(80e6, 60e3, 0.1);

    private static double trueNanos(Work work) {
        return REQUEST_NANOS * work.rounds() + TOKEN_NANOS * work.tokens();
    }

    private void recordResponses(int count, double noise) {
        Random random = new Random(3);
        for (int i = 0; i < count; i++) {
            Work work = new Work(random.nextInt(12_000), 1);
            speed.record(work, trueNanos(work) * Math.exp(noise * random.nextGaussian()));
        }
    }

    @Test
    void findsTimePerRequestAndPerToken() {
        recordResponses(1000, 0.2);
        for (int tokens : new int[] {0, 500, 6000, 12_000}) {
            Work work = new Work(tokens, 1);
            assertThat(speed.nanos(work.tokens(), work.rounds()) / trueNanos(work))
                    .as("%d tokens", tokens)
                    .isCloseTo(1, within(0.25));
        }
    }

    /** One response that was late by a lost packet must not make an upstream look unusable. */
    @Test
    void oneResponseMovesThePredictionByAtMostItsGain() {
        recordResponses(100, 0);
        double before = speed.nanos(1000, 1);
        speed.record(new Work(1000, 1), 1e15);
        assertThat(speed.nanos(1000, 1) / before).isBetween(1.0, LearnedSpeed.MAX_RATIO);
        speed.record(new Work(1000, 1), -5);
        assertThat(speed.nanos(1000, 1) / before).isBetween(0.5, LearnedSpeed.MAX_RATIO);
    }

    @Test
    void impossibleTimesLeaveAFinitePrediction() {
        for (int i = 0; i < 10_000; i++) {
            speed.record(new Work(i % 2 == 0 ? 0 : 1e9, 1), i % 3 == 0 ? 1e300 : 0);
        }
        assertThat(speed.nanos(10_000, 1)).isFinite().isPositive();
    }
}
