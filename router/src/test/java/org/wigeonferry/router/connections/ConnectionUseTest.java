package org.wigeonferry.router.connections;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeonferry.routing.RequestKind;

/** Guards against a request that is lost with an idle connection and can't be sent again. */
class ConnectionUseTest {
    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"UNSAFE", "STREAM"})
    void requestThatMustNotBeRepeatedGetsAConnectionOfItsOwn(RequestKind kind) {
        assertThat(ConnectionUse.of(kind, true, false)).isEqualTo(ConnectionUse.NEW_AND_CLOSED);
    }

    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"SAFE", "RESUMABLE_STREAM"})
    void idempotentRequestUsesAnIdleConnectionOnceAtMost(RequestKind kind) {
        assertThat(ConnectionUse.of(kind, true, false)).isEqualTo(ConnectionUse.IDLE_OR_NEW);
        assertThat(ConnectionUse.of(kind, true, true)).isEqualTo(ConnectionUse.NEW);
    }

    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"SAFE", "RESUMABLE_STREAM"})
    void lastRunOfARequestUsesANewConnection(RequestKind kind) {
        assertThat(ConnectionUse.of(kind, false, false)).isEqualTo(ConnectionUse.NEW);
    }
}
