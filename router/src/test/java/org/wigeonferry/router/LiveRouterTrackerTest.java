package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LiveRouterTrackerTest {
    private static final long SECOND = 1_000_000_000L;

    private final LiveRouterTracker membership =
            new LiveRouterTracker("a", Duration.ofSeconds(12), 8);

    @Test
    void reckonsWithManyUntilAllHadTimeToShowThemselves() {
        assertThat(membership.expireAndReturnLive(0, true).assumedCount()).isEqualTo(8);
        membership.recordAllReportsRead(SECOND);
        membership.recordReport("a", SECOND);
        assertThat(membership.expireAndReturnLive(2 * SECOND, true).assumedCount()).isEqualTo(8);
        membership.recordAllReportsRead(10 * SECOND);
        membership.recordReport("a", 10 * SECOND);
        membership.recordReport("b", 10 * SECOND);
        assertThat(membership.expireAndReturnLive(11 * SECOND, true).assumedCount()).isEqualTo(2);
    }

    @Test
    void silentEntriesAreForgottenOnlyWhileTheStoreAnswers() {
        membership.recordAllReportsRead(0);
        membership.recordReport("a", 0);
        membership.recordReport("b", 0);
        assertThat(membership.expireAndReturnLive(20 * SECOND, false).assumedCount()).isEqualTo(2);
        membership.recordReport("a", 20 * SECOND);
        assertThat(membership.expireAndReturnLive(21 * SECOND, true).assumedCount()).isEqualTo(1);
    }
}
