package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LiveRouterTrackerTest {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final LiveRouterTracker tracker = new LiveRouterTracker("a", Duration.ofSeconds(12), 8);

    @Test
    void assumesMinimumCountUntilDiscoveryIsOver() {
        assertThat(tracker.expireAndReturnLive(0, true).assumedCount()).isEqualTo(8);
        tracker.recordAllReportsRead(NANOS_PER_SECOND);
        tracker.recordReport("a", NANOS_PER_SECOND);
        assertThat(tracker.expireAndReturnLive(2 * NANOS_PER_SECOND, true).assumedCount())
                .isEqualTo(8);
        tracker.recordAllReportsRead(10 * NANOS_PER_SECOND);
        tracker.recordReport("a", 10 * NANOS_PER_SECOND);
        tracker.recordReport("b", 10 * NANOS_PER_SECOND);
        assertThat(tracker.expireAndReturnLive(11 * NANOS_PER_SECOND, true).assumedCount())
                .isEqualTo(2);
    }

    @Test
    void silentRoutersAreRemovedOnlyWhileTheStoreAnswers() {
        tracker.recordAllReportsRead(0);
        tracker.recordReport("a", 0);
        tracker.recordReport("b", 0);
        assertThat(tracker.expireAndReturnLive(20 * NANOS_PER_SECOND, false).assumedCount())
                .isEqualTo(2);
        tracker.recordReport("a", 20 * NANOS_PER_SECOND);
        assertThat(tracker.expireAndReturnLive(21 * NANOS_PER_SECOND, true).assumedCount())
                .isEqualTo(1);
    }
}
