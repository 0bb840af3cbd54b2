package org.wigeonferry.router.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against a connection that is kept though its upstream closes it, or though bytes of an
 * earlier response may still come on it.
 */
class KeepPolicyTest {
    private static ExchangeEnd end(Optional<Duration> keepAliveTime) {
        return new ExchangeEnd(true, true, true, keepAliveTime);
    }

    @Test
    void announcedTimeIsUsedToFourFifths() {
        assertThat(KeepPolicy.idleTime(end(Optional.of(Duration.ofSeconds(5)))))
                .contains(Duration.ofSeconds(4));
    }

    @Test
    void withoutAnAnnouncedTimeTheConnectionIsUsedForASecond() {
        assertThat(KeepPolicy.idleTime(end(Optional.empty()))).contains(Duration.ofSeconds(1));
    }

    @Test
    void connectionThatTheUpstreamClosesAtOnceIsNotKept() {
        assertThat(KeepPolicy.idleTime(end(Optional.of(Duration.ZERO)))).isEmpty();
    }

    @Test
    void connectionIsKeptOnlyAfterACompleteExchange() {
        assertThat(KeepPolicy.idleTime(new ExchangeEnd(false, true, true, Optional.empty())))
                .isEmpty();
    }

    @Test
    void connectionWhoseEndEndsTheResponseIsNotKept() {
        assertThat(KeepPolicy.idleTime(new ExchangeEnd(true, false, true, Optional.empty())))
                .isEmpty();
    }

    @Test
    void connectionThatTheUpstreamWantsClosedIsNotKept() {
        assertThat(KeepPolicy.idleTime(new ExchangeEnd(true, true, false, Optional.empty())))
                .isEmpty();
    }
}
