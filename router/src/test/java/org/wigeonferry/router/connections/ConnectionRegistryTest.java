package org.wigeonferry.router.connections;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.Incarnation;

/**
 * Guards against connections beyond a limit, and against one that is used though its upstream is
 * gone or its time is over. Replays a burst, a restart and a stop of an upstream.
 */
class ConnectionRegistryTest {
    private static final int MAX_IDLE = 2;
    private static final long SECOND = 1_000_000_000L;
    private static final Incarnation ONE = new Incarnation("one", 1);
    private static final Incarnation ONE_RESTARTED = new Incarnation("one", 2);

    private final ConnectionRegistry<String> registry = new ConnectionRegistry<>(MAX_IDLE);

    @BeforeEach
    void setLimit() {
        registry.setLimits(Map.of(ONE, 4));
    }

    private void open(String... connections) {
        for (String connection : connections) {
            assertThat(registry.onOpening(ONE)).as(connection).isEmpty();
        }
    }

    @Test
    void connectionThatWasUsedLastIsTakenFirst() {
        open("a", "b");
        assertThat(registry.keep(ONE, "a", SECOND)).isEmpty();
        assertThat(registry.keep(ONE, "b", SECOND)).isEmpty();
        assertThat(registry.takeIdle(ONE, 0)).contains("b");
        assertThat(registry.takeIdle(ONE, 0)).contains("a");
        assertThat(registry.takeIdle(ONE, 0)).isEmpty();
    }

    @Test
    void connectionWhoseTimeIsOverIsNotTakenButClosed() {
        open("a");
        registry.keep(ONE, "a", SECOND);
        assertThat(registry.takeIdle(ONE, SECOND)).isEmpty();
        assertThat(registry.removeExpired(SECOND)).containsExactly("a");
        assertThat(registry.idleCount()).isZero();
    }

    @Test
    void noMoreThanTheSettingStayIdle() {
        open("a", "b", "c");
        registry.keep(ONE, "a", SECOND);
        registry.keep(ONE, "b", SECOND);
        assertThat(registry.keep(ONE, "c", SECOND)).containsExactly("a");
        assertThat(registry.idleCount()).isEqualTo(MAX_IDLE);
    }

    @Test
    void burstOfNewConnectionsClosesIdleOnes() {
        open("a", "b");
        registry.keep(ONE, "a", SECOND);
        registry.keep(ONE, "b", SECOND);
        open("c", "d");
        assertThat(registry.onOpening(ONE)).containsExactly("a");
        assertThat(registry.onOpening(ONE)).containsExactly("b");
        assertThat(registry.idleCount()).isZero();
    }

    @Test
    void lowerLimitClosesIdleConnections() {
        open("a", "b");
        registry.keep(ONE, "a", SECOND);
        assertThat(registry.setLimits(Map.of(ONE, 1))).containsExactly("a");
    }

    @Test
    void connectionsOfAnUpstreamThatLeavesAreClosed() {
        open("a", "b");
        registry.keep(ONE, "a", SECOND);
        assertThat(registry.setLimits(Map.of())).containsExactly("a");
        assertThat(registry.keep(ONE, "b", SECOND)).containsExactly("b");
    }

    @Test
    void connectionOfAnEarlierIncarnationIsNotTaken() {
        open("a");
        registry.keep(ONE, "a", SECOND);
        assertThat(registry.takeIdle(ONE_RESTARTED, 0)).isEmpty();
        assertThat(registry.setLimits(Map.of(ONE_RESTARTED, 4))).containsExactly("a");
    }

    @Test
    void connectionThatTheUpstreamClosedIsNotTaken() {
        open("a");
        registry.keep(ONE, "a", SECOND);
        assertThat(registry.onIdleClosed(ONE, "a")).isTrue();
        assertThat(registry.onIdleClosed(ONE, "a")).isFalse();
        assertThat(registry.takeIdle(ONE, 0)).isEmpty();
    }

    @Test
    void connectionInUseIsNotAnIdleOne() {
        open("a");
        assertThat(registry.onIdleClosed(ONE, "a")).isFalse();
        registry.onActiveClosed(ONE);
        assertThat(registry.takeIdle(ONE, 0)).isEmpty();
    }

    @Test
    void withoutTheSettingNothingIsKept() {
        ConnectionRegistry<String> none = new ConnectionRegistry<>(0);
        none.setLimits(Map.of(ONE, 4));
        none.onOpening(ONE);
        assertThat(none.keepsConnections()).isFalse();
        assertThat(none.keep(ONE, "a", SECOND)).containsExactly("a");
    }
}
