package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MembershipTest {
    private static final long SECOND = 1_000_000_000L;

    private final Membership membership = new Membership(Duration.ofSeconds(12), 8);

    @Test
    void reckonsWithManyUntilAllHadTimeToShowThemselves() {
        assertThat(membership.count(0, true)).isEqualTo(8);
        membership.known(SECOND);
        membership.seen("a", SECOND);
        assertThat(membership.count(2 * SECOND, true)).isEqualTo(8);
        membership.known(10 * SECOND);
        membership.seen("a", 10 * SECOND);
        membership.seen("b", 10 * SECOND);
        assertThat(membership.count(11 * SECOND, true)).isEqualTo(2);
    }

    @Test
    void silentEntriesAreForgottenOnlyWhileTheStoreAnswers() {
        membership.known(0);
        membership.seen("a", 0);
        membership.seen("b", 0);
        assertThat(membership.count(20 * SECOND, false)).isEqualTo(2);
        membership.seen("a", 20 * SECOND);
        assertThat(membership.count(21 * SECOND, true)).isEqualTo(1);
    }
}
