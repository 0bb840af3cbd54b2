package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** An upstream that started again under its id got requests as if it were still warm. */
class RestartedUpstreamFloodedTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;

    /** The rate of a cold upstream of the service, of which there is only this router. */
    private static final int COLD_RATE = 4;

    private static final int COLD_MILLIS = 3000;

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);
    private long nowNanos = NOW_NANOS;
    private int nextRequest;

    @BeforeEach
    void addWarmUpstream() {
        state.upstreams().put(incarnation(1, 0), nowNanos);
    }

    @ParameterizedTest
    @EnumSource(names = {"BROKEN", "NOT_SENT", "SILENT"})
    void lostConnectionMayBeARestart(SendOutcome outcome) {
        end(send().orElseThrow(), outcome);
        passMillis(1000);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
    }

    @Test
    void restartedUpstreamStaysColdForAWhileAfterItsFirstAnswer() {
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(1000);
        answer(send().orElseThrow());
        passMillis(COLD_MILLIS - 100);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
        passMillis(1100);
        assertThat(sendsOf(20)).isEqualTo(20);
    }

    @Test
    void answerToARequestFromBeforeTheLossShowsThatTheProcessLives() {
        Send older = send().orElseThrow();
        passMillis(10);
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(1000);
        answer(older);
        assertThat(sendsOf(20)).isEqualTo(20);
    }

    @Test
    void eventOfAStreamFromBeforeTheLossShowsThatTheProcessLives() {
        Send older = send().orElseThrow();
        answer(older);
        passMillis(10);
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(1000);
        state.onStreamProgress(older, Duration.ofMillis(20), nowNanos - 100_000_000);
        assertThat(sendsOf(20)).isEqualTo(20);
    }

    @Test
    void endOfAnAnswerFromBeforeTheLossShowsThatTheProcessLives() {
        Send older = send().orElseThrow();
        answer(older);
        passMillis(10);
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(1000);
        end(older, SendOutcome.ANSWERED);
        assertThat(sendsOf(20)).isEqualTo(20);
    }

    /** A router without a share in the cold rate sends nothing that could be answered. */
    @Test
    void lossIsForgottenWithoutAnAnswerOnceARestartWouldHaveBeenRegistered() {
        Send lost = send().orElseThrow();
        state.setLiveRouters(new LiveRouters("own", Set.of("own", "b", "c", "d", "e", "f"), 12));
        end(lost, SendOutcome.BROKEN);
        passMillis(7000);
        assertThat(sendsOf(20)).isEqualTo(20);
    }

    @Test
    void answerThatWasOnItsWayAtTheLossShowsNothing() {
        Send older = send().orElseThrow();
        passMillis(10);
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(20);
        answer(older);
        passMillis(1000);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
    }

    @Test
    void answerOfTheNewProcessDoesNotStandForTheOldOne() {
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(1000);
        Send toNewProcess = send().orElseThrow();
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(500);
        answer(toNewProcess);
        passMillis(1000);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void sendsBeforeTheNewRegistrationCountInItsFirstSecond(boolean removedBefore) {
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(1000);
        int sent = sendsOf(3);
        passMillis(300);
        if (removedBefore) {
            state.upstreams().remove("a", nowNanos);
            state.upstreams().removeExpired(nowNanos);
        }
        state.upstreams().put(incarnation(2, COLD_MILLIS), nowNanos);
        assertThat(sent + sendsOf(20)).isEqualTo(COLD_RATE);
    }

    @Test
    void upstreamThatAnotherRouterLostMayHaveRestarted() {
        RoutingState other = Fixtures.state(Fixtures.config(7), nowNanos);
        other.upstreams().put(incarnation(1, 0), nowNanos);
        Send first = sendOf(other).orElseThrow();
        Send second = sendOf(other).orElseThrow();
        endAt(other, first, SendOutcome.BROKEN);
        assertThat(other.upstreams().takeLostUpstreams()).isEmpty();
        endAt(other, second, SendOutcome.BROKEN);
        assertThat(other.upstreams().takeLostUpstreams())
                .hasSize(1)
                .allSatisfy(key -> state.upstreams().recordPeerLoss(key, nowNanos));
        passMillis(100);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
    }

    /** Its row has expired, and a write of the old process has come to the store late. */
    @Test
    void registrationThatComesBackMayBeOlderThanARestart() {
        end(send().orElseThrow(), SendOutcome.BROKEN);
        passMillis(2000);
        state.upstreams().remove("a", nowNanos);
        passMillis(1000);
        state.upstreams().put(incarnation(1, 0), nowNanos);
        passMillis(1600);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
    }

    @Test
    void lateRegistrationOfTheOldProcessDoesNotReplaceTheNewOne() {
        state.upstreams().put(incarnation(2, COLD_MILLIS), nowNanos);
        passMillis(500);
        state.upstreams().put(incarnation(1, 0), nowNanos);
        assertThat(sendsOf(20)).isEqualTo(COLD_RATE);
        assertThat(state.upstreams().upstream("a")).contains(incarnation(2, COLD_MILLIS));
    }

    private static UpstreamInstance incarnation(long startMillis, int coldMillis) {
        UpstreamInstance first = Fixtures.upstream("a", "model", "v1", coldMillis);
        return new UpstreamInstance(
                new Incarnation("a", startMillis),
                first.address(),
                first.service(),
                first.zone(),
                first.release(),
                first.slots(),
                first.draining(),
                first.coldTimeLeft());
    }

    private void passMillis(int millis) {
        nowNanos += Duration.ofMillis(millis).toNanos();
        Fixtures.confirmConfig(state, nowNanos);
    }

    private int sendsOf(int requests) {
        int sends = 0;
        for (int i = 0; i < requests; i++) {
            sends += send().isPresent() ? 1 : 0;
        }
        return sends;
    }

    private Optional<Send> send() {
        return sendOf(state);
    }

    private Optional<Send> sendOf(RoutingState router) {
        nextRequest++;
        RoutedRequest request = Fixtures.request("chat", "id" + nextRequest, Optional.empty());
        Job job = Fixtures.admit(router, request, nowNanos);
        return Optional.of(Fixtures.place(router, job, nowNanos))
                .filter(Send.class::isInstance)
                .map(Send.class::cast);
    }

    private void answer(Send send) {
        state.onResponseHeaders(send, Optional.empty(), nowNanos);
    }

    private void end(Send send, SendOutcome outcome) {
        endAt(state, send, outcome);
    }

    private void endAt(RoutingState router, Send send, SendOutcome outcome) {
        Job job = Fixtures.admit(router, Fixtures.request("chat"), nowNanos);
        router.onSendEnd(job, "content", Fixtures.reportWithoutHeaders(send, outcome), nowNanos);
    }
}
