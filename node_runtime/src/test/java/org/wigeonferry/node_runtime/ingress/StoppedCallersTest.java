package org.wigeonferry.node_runtime.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against closing a connection that makes progress, or that this process has to answer, in
 * favor of another, and against keeping one that stopped midway.
 */
class StoppedCallersTest {
    private static final LeastRates RATES = new LeastRates(1000, 500);

    private static ConnectionProgress receiving(
            ConnectionPhase phase, int bytes, int phaseMillis, int silentMillis) {
        return new ConnectionProgress(
                phase,
                Duration.ofMillis(phaseMillis),
                bytes,
                Duration.ofMillis(silentMillis),
                false,
                Duration.ZERO,
                0,
                1);
    }

    private static ConnectionProgress reading(int bytes, int blockedMillis, int silentMillis) {
        return new ConnectionProgress(
                ConnectionPhase.HANDLING,
                Duration.ofMillis(blockedMillis),
                0,
                Duration.ofMillis(silentMillis),
                true,
                Duration.ofMillis(blockedMillis),
                bytes,
                1);
    }

    @Test
    void callerThatStopsMidwayIsTooSlow() {
        assertThat(RATES.isTooSlow(receiving(ConnectionPhase.BODY, 4_000_000, 2000, 1000)))
                .isTrue();
        assertThat(RATES.isTooSlow(receiving(ConnectionPhase.HEAD, 100, 1000, 1000))).isTrue();
    }

    @Test
    void callerThatDripsIsTooSlowThoughNeverSilent() {
        assertThat(RATES.isTooSlow(receiving(ConnectionPhase.HEAD, 1999, 2000, 10))).isTrue();
        assertThat(RATES.isTooSlow(receiving(ConnectionPhase.HEAD, 2000, 2000, 10))).isFalse();
    }

    @Test
    void callerThatHasJustBegunIsNotTooSlow() {
        assertThat(RATES.isTooSlow(receiving(ConnectionPhase.HEAD, 1, 999, 999))).isFalse();
    }

    @Test
    void callerThatWaitsForItsResponseIsNotTooSlow() {
        assertThat(RATES.isTooSlow(receiving(ConnectionPhase.HANDLING, 0, 60_000, 60_000)))
                .isFalse();
    }

    @Test
    void callerThatReadsSlowlyOrNotAtAllIsTooSlow() {
        assertThat(RATES.isTooSlow(reading(999, 2000, 10))).isTrue();
        assertThat(RATES.isTooSlow(reading(1_000_000, 2000, 1000))).isTrue();
        assertThat(RATES.isTooSlow(reading(1000, 2000, 10))).isFalse();
    }

    @Test
    void longestSilentCallerGivesWay() {
        ConnectionProgress busy = receiving(ConnectionPhase.BODY, 90_000, 3000, 0);
        ConnectionProgress silent = receiving(ConnectionPhase.BODY, 90_000, 3000, 1500);
        ConnectionProgress longSilent = receiving(ConnectionPhase.HEAD, 90_000, 3000, 2500);
        assertThat(choose(List.of(busy, longSilent, silent))).contains(longSilent);
        assertThat(choose(List.of(busy))).isEmpty();
    }

    private static Optional<ConnectionProgress> choose(List<ConnectionProgress> all) {
        return new SlowestChoice(RATES).choose(all, progress -> progress, progress -> true);
    }
}
