package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class SlownessTest {
    /** With 2000 uncached tokens, whose response headers are expected after 200 ms. */
    private static final Send SEND =
            new Send(
                    Fixtures.upstream("a", "model"),
                    Optional.empty(),
                    Optional.empty(),
                    0,
                    OptionalInt.empty(),
                    Duration.ofSeconds(1),
                    2000,
                    0,
                    0,
                    Optional.empty());

    private final Slowness slowness = new Slowness();

    @Test
    void expectedResponseStartsKeepTheMeanAtOne() {
        for (int i = 0; i < 50; i++) {
            slowness.recordTimeToHeaders(Duration.ofMillis(200), SEND, i);
        }
        assertThat(slowness.meanRatio(50)).isBetween(0.9, 1.1);
    }

    @Test
    void lateResponseStartsRaiseTheMeanAndTimeWithoutAnswersLowersIt() {
        for (int i = 0; i < 50; i++) {
            slowness.recordTimeToHeaders(Duration.ofSeconds(20), SEND, i);
        }
        assertThat(slowness.meanRatio(50)).isGreaterThan(10);
        assertThat(slowness.meanRatio(20 * Fixtures.NANOS_PER_SECOND)).isLessThan(2);
    }
}
