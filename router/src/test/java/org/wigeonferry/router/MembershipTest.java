package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final long SECOND = 1_000_000_000L;

    private final Membership membership = new Membership("a", Duration.ofSeconds(12), 8);

    @Test
    void reckonsWithManyUntilAllHadTimeToShowThemselves() {
        assertThat(membership.live(0, true).assumedCount()).isEqualTo(8);
        membership.known(SECOND);
        membership.seen("a", SECOND);
        assertThat(membership.live(2 * SECOND, true).assumedCount()).isEqualTo(8);
        membership.known(10 * SECOND);
        membership.seen("a", 10 * SECOND);
        membership.seen("b", 10 * SECOND);
        assertThat(membership.live(11 * SECOND, true).assumedCount()).isEqualTo(2);
    }

    @Test
    void silentEntriesAreForgottenOnlyWhileTheStoreAnswers() {
        membership.known(0);
        membership.seen("a", 0);
        membership.seen("b", 0);
        assertThat(membership.live(20 * SECOND, false).assumedCount()).isEqualTo(2);
        membership.seen("a", 20 * SECOND);
        assertThat(membership.live(21 * SECOND, true).assumedCount()).isEqualTo(1);
    }
}
