package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class PoisonRequestRegisterTest {
    private static final long NANOS_PER_SECOND = Fixtures.NANOS_PER_SECOND;
    private static final Incarnation A = new Incarnation("a", 1);
    private static final Incarnation B = new Incarnation("b", 1);
    private static final Incarnation C = new Incarnation("c", 1);

    private final PoisonRequestRegister register = new PoisonRequestRegister();

    @Test
    void requestIsRefusedAfterConnectionLossesAtThreeUpstreams() {
        register.onConnectionLoss("x", A, 0);
        register.onConnectionLoss("x", B, 1);
        assertThat(register.isRefused("x", 2)).isFalse();
        assertThat(register.onConnectionLoss("x", C, 3)).isTrue();
        assertThat(register.isRefused("x", 4)).isTrue();
    }

    @Test
    void simultaneousConnectionLossesAtOneUpstreamCountAsOne() {
        for (int i = 0; i < 5; i++) {
            assertThat(register.onConnectionLoss("x", A, i)).isFalse();
        }
        assertThat(register.isRefused("x", 6)).isFalse();
    }

    @Test
    void repeatedConnectionLossesAtOneUpstreamAreCounted() {
        register.onConnectionLoss("x", A, 0);
        register.onConnectionLoss("x", A, 2 * NANOS_PER_SECOND);
        assertThat(register.onConnectionLoss("x", A, 4 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void restartedUpstreamCountsAsAnotherUpstream() {
        register.onConnectionLoss("x", A, 0);
        register.onConnectionLoss("x", new Incarnation("a", 2), 1);
        assertThat(register.onConnectionLoss("x", new Incarnation("a", 3), 2)).isTrue();
    }

    @Test
    void answerClearsLossesThatOtherRoutersCountedBefore() {
        register.applyPeerLossCounts("peer", Map.of("x", 2), 0);
        register.onAnswer("x", 0);
        register.onConnectionLoss("x", A, 30 * NANOS_PER_SECOND);
        register.applyPeerLossCounts("peer", Map.of("x", 2), 31 * NANOS_PER_SECOND);
        assertThat(register.isRefused("x", 31 * NANOS_PER_SECOND)).isFalse();
    }

    @Test
    void lossesReportedByOtherRoutersAfterAnAnswerAreCounted() {
        register.applyPeerLossCounts("peer", Map.of("x", 2), 0);
        register.onAnswer("x", 0);
        register.applyPeerLossCounts("peer", Map.of("x", 5), 30 * NANOS_PER_SECOND);
        assertThat(register.isRefused("x", 31 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void countStartsOverAfterAnotherRouterDropsIt() {
        register.applyPeerLossCounts("peer", Map.of("x", 2), 0);
        register.onAnswer("x", 0);
        register.applyPeerLossCounts("peer", Map.of(), 30 * NANOS_PER_SECOND);
        register.applyPeerLossCounts("peer", Map.of("x", 3), 31 * NANOS_PER_SECOND);
        assertThat(register.isRefused("x", 32 * NANOS_PER_SECOND)).isTrue();
    }

    @Test
    void requestAnsweredRecentlyIsNotRefused() {
        register.onAnswer("x", 0);
        register.onConnectionLoss("x", A, NANOS_PER_SECOND);
        register.onConnectionLoss("x", B, NANOS_PER_SECOND);
        assertThat(register.onConnectionLoss("x", C, NANOS_PER_SECOND)).isFalse();
        assertThat(register.isRefused("x", 2 * NANOS_PER_SECOND)).isFalse();
    }

    @Test
    void lossesLongAfterAnAnswerAreCounted() {
        register.onAnswer("x", 0);
        register.onConnectionLoss("x", A, 30 * NANOS_PER_SECOND);
        register.onConnectionLoss("x", B, 30 * NANOS_PER_SECOND);
        assertThat(register.onConnectionLoss("x", C, 30 * NANOS_PER_SECOND)).isTrue();
    }
}
