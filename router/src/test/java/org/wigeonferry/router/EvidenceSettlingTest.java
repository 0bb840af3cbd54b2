package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class EvidenceSettlingTest {
    private static final long CHECK_NANOS = Duration.ofMillis(500).toNanos();
    private static final long SETTLED_NANOS = Duration.ofSeconds(3).toNanos();

    private final EvidenceSettling settling = new EvidenceSettling();

    @Test
    void evidenceIsSettledAtFirstAndWhileChecksGoOn() {
        for (int i = 0; i < 20; i++) {
            settling.onCheck(i * CHECK_NANOS);
            assertThat(settling.isSettled(i * CHECK_NANOS)).isTrue();
        }
    }

    @Test
    void reportsOfTheOthersAreAwaitedAfterAnOutageOfTheStore() {
        settling.onStoreRecovered(CHECK_NANOS);
        assertThat(settling.isSettled(CHECK_NANOS)).isFalse();
        assertThat(settling.isSettled(CHECK_NANOS + SETTLED_NANOS - 1)).isFalse();
        assertThat(settling.isSettled(CHECK_NANOS + SETTLED_NANOS)).isTrue();
    }

    @Test
    void reportsOfTheOthersAreAwaitedAfterThisProcessStoodStill() {
        settling.onCheck(0);
        settling.onCheck(CHECK_NANOS);
        long awake = CHECK_NANOS + Duration.ofSeconds(4).toNanos();
        settling.onCheck(awake);
        assertThat(settling.isSettled(awake)).isFalse();
        assertThat(settling.isSettled(awake + SETTLED_NANOS)).isTrue();
    }
}
