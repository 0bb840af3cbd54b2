package org.wigeonferry.routing.prediction;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

class PaceEstimateTest {
    private static final long MILLI = 1_000_000;
    private static final long START = 10_000 * MILLI;

    private final PaceEstimate pace = new PaceEstimate();

    @Test
    void usualPaceIsAssumedWithoutReports() {
        assertThat(pace.factor(START)).isEqualTo(1);
    }

    /** A slow period of 600 ms is mostly over when its report is a second old. */
    @Test
    void weightOfAReportDecaysWithItsAge() {
        for (int i = 100; i > 0; i--) {
            pace.record(100, START - i * MILLI, START);
        }
        pace.record(250, START, START);
        assertThat(pace.factor(START)).isCloseTo(2.5, within(0.1));
        assertThat(pace.factor(START + 600 * MILLI)).isBetween(1.3, 1.7);
        assertThat(pace.factor(START + 2000 * MILLI)).isLessThan(1.1);
    }

    /** An upstream that always claims a higher speed would get all requests. */
    @Test
    void paceThatIsAlwaysTheSameHasNoEffect() {
        for (int i = 1000; i > 0; i--) {
            pace.record(50, START - i * MILLI, START);
        }
        assertThat(pace.factor(START)).isCloseTo(1, within(0.02));
    }

    @Test
    void forwardedReportThatIsOlderThanTheLastOneIsIgnored() {
        pace.record(100, START, START);
        assertThat(pace.record(250, START - 50 * MILLI, START)).isFalse();
        assertThat(pace.factor(START)).isCloseTo(1, within(0.01));
    }

    @Test
    void reportsOfNoAgeOrNoPaceAreIgnored() {
        assertThat(pace.record(0, START, START)).isFalse();
        assertThat(pace.record(-7, START, START)).isFalse();
        assertThat(pace.record(250, START + 1, START)).isFalse();
        assertThat(pace.record(250, START - 60_000 * MILLI, START)).isFalse();
        assertThat(pace.factor(START)).isEqualTo(1);
    }

    @Test
    void anyReportsLeaveTheFactorWithinItsLimits() {
        Random random = new Random(5);
        long now = START;
        for (int i = 0; i < 10_000; i++) {
            now += random.nextInt(100) * MILLI;
            pace.record(random.nextInt(), now - random.nextInt(200) * MILLI, now);
            assertThat(pace.factor(now)).isBetween(PaceEstimate.MIN, PaceEstimate.MAX);
        }
    }
}
