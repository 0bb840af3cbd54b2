package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RoutingStateTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);

    @Test
    void refusesWhileNoConfigurationIsKnown() {
        RoutingState unconfigured =
                new RoutingState(
                        Fixtures.ZONE,
                        Fixtures.LIMITS,
                        state.freshness(),
                        new ModelCascade(50),
                        () -> 0,
                        new LiveRouters("own", Set.of(), 1));
        assertThat(
                        unconfigured.admit(
                                Fixtures.request("book"),
                                NOW_NANOS,
                                Fixtures.wallMillis(NOW_NANOS)))
                .isEqualTo(new Refused(RefusalCause.NO_CONFIGURATION));
    }

    @Test
    void ignoresOlderConfiguration() {
        assertThat(state.updateConfig(Fixtures.config(6))).isFalse();
        assertThat(state.config().orElseThrow().revision()).isEqualTo(7);
    }

    @Test
    void unknownRouteIsReportedOnlyWhileTheConfigurationIsUpToDate() {
        RoutedRequest request = Fixtures.request("nowhere");
        assertThat(state.admit(request, NOW_NANOS, Fixtures.wallMillis(NOW_NANOS)))
                .isEqualTo(new Refused(RefusalCause.UNKNOWN_ROUTE));
        long laterNanos = NOW_NANOS + 5 * Fixtures.NANOS_PER_SECOND;
        assertThat(state.admit(request, laterNanos, Fixtures.wallMillis(laterNanos)))
                .isEqualTo(new Refused(RefusalCause.STALE_CONFIGURATION));
    }

    @Test
    void keyedRequestIsNotPlacedOnceTheConfigurationIsStale() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        long laterNanos = NOW_NANOS + 4 * Fixtures.NANOS_PER_SECOND;
        assertThat(Fixtures.place(state, job, laterNanos))
                .isEqualTo(new Refused(RefusalCause.STALE_CONFIGURATION));
    }

    @Test
    void revokedKeyAfterAPossibleRunIsRefusedAsOutcomeUnknown() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(send, SendOutcome.FAILED), NOW_NANOS);
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(Fixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    @Test
    void admittedJobIsNotPlacedOnceItsKeyIsRevoked() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(Fixtures.place(state, job, NOW_NANOS)).isInstanceOf(Refused.class);
    }

    @Test
    void unsafeRequestIsNotSentAgainAfterABrokenConnection() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        state.upstreams().put(Fixtures.upstream("b", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(send, SendOutcome.BROKEN), NOW_NANOS);
        assertThat(Fixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    @Test
    void unsafeRequestIsSentElsewhereIfItProvablyDidNotRun() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        state.upstreams().put(Fixtures.upstream("b", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        Send first = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(first, SendOutcome.NOT_RUN), NOW_NANOS);
        Send second = (Send) Fixtures.place(state, job, NOW_NANOS);
        assertThat(second.upstream().id()).isNotEqualTo(first.upstream().id());
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(second, SendOutcome.NOT_RUN), NOW_NANOS);
        assertThat(Fixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.NO_UPSTREAM));
    }

    @Test
    void upstreamInDisabledZoneGetsNoSends() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        state.setZoneDisabled(Fixtures.ZONE, true);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        assertThat(Fixtures.place(state, job, NOW_NANOS)).isInstanceOf(Refused.class);
        state.setZoneDisabled(Fixtures.ZONE, false);
        assertThat(Fixtures.place(state, job, NOW_NANOS)).isInstanceOf(Send.class);
    }

    @Test
    void coldUpstreamGetsThisRoutersShareOfItsRate() {
        state.setLiveRouters(new LiveRouters("own", Set.of("own", "other"), 1));
        state.upstreams().put(Fixtures.upstream("a", "model", "v1", 3000), NOW_NANOS);
        int sent = 0;
        for (int i = 0; i < 10; i++) {
            Job job = Fixtures.admit(state, Fixtures.request("chat"), NOW_NANOS);
            sent += Fixtures.place(state, job, NOW_NANOS) instanceof Send ? 1 : 0;
        }
        assertThat(sent).isEqualTo(2);
    }

    @Test
    void coldRateHoldsWithMoreRoutersThanRequestsPerSecond() {
        Set<String> names = Set.of("1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12");
        int sent = 0;
        for (String name : names) {
            RoutingState router = Fixtures.state(Fixtures.config(7), NOW_NANOS);
            router.setLiveRouters(new LiveRouters(name, names, 1));
            router.upstreams().put(Fixtures.upstream("a", "model", "v1", 3000), NOW_NANOS);
            Job job = Fixtures.admit(router, Fixtures.request("chat"), NOW_NANOS);
            sent += Fixtures.place(router, job, NOW_NANOS) instanceof Send ? 1 : 0;
        }
        assertThat(sent).isEqualTo(4);
    }

    @Test
    void misdirectedSendRemovesTheUpstream() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                Fixtures.reportWithHeaders(send, SendOutcome.MISDIRECTED),
                NOW_NANOS);
        assertThat(state.upstreams().upstream("a")).isEmpty();
    }

    private Send sendAndLoseConnection(String upstream) {
        state.upstreams().put(Fixtures.upstream(upstream, "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job, "content", Fixtures.reportWithoutHeaders(send, SendOutcome.BROKEN), NOW_NANOS);
        return send;
    }

    @Test
    void requestThatLosesSeveralConnectionsInARowIsRefused() {
        sendAndLoseConnection("a");
        sendAndLoseConnection("b");
        sendAndLoseConnection("c");
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        assertThat(Fixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void connectionLossesAtOtherRoutersCount() {
        sendAndLoseConnection("a");
        CrashReport crashes = new CrashReport(Set.of(1, 2), Duration.ZERO);
        state.poisonRegister()
                .applyReport(
                        new PoisonReport(Map.of(Suspects.ofDigest("content"), crashes), Set.of()),
                        NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        assertThat(Fixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void notRunReportBetweenLossesDoesNotResetTheCount() {
        sendAndLoseConnection("a");
        sendAndLoseConnection("b");
        state.upstreams().put(Fixtures.upstream("c", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(send, SendOutcome.NOT_RUN), NOW_NANOS);
        sendAndLoseConnection("d");
        Job next = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        assertThat(Fixtures.place(state, next, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void requestThatIsAnsweredBetweenConnectionLossesIsNotRefused() {
        sendAndLoseConnection("a");
        sendAndLoseConnection("b");
        state.upstreams().put(Fixtures.upstream("c", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED), NOW_NANOS);
        sendAndLoseConnection("d");
        Job next = Fixtures.admit(state, Fixtures.request("look"), NOW_NANOS);
        assertThat(Fixtures.place(state, next, NOW_NANOS)).isInstanceOf(Send.class);
    }

    @Test
    void lowConfidenceAnswerIsRetriedWithTheLargestModelEvenAtTheSameUpstream() {
        state.upstreams().put(Fixtures.upstream("a", "model"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("chat"), NOW_NANOS);
        Send first = (Send) Fixtures.place(state, job, NOW_NANOS);
        assertThat(first.model()).isEqualTo(Optional.of("small"));
        assertThat(first.minConfidence()).isEqualTo(50);
        state.onSendEnd(
                job, "content", Fixtures.reportWithHeaders(first, SendOutcome.DOUBTED), NOW_NANOS);
        Send second = (Send) Fixtures.place(state, job, NOW_NANOS);
        assertThat(second.model()).isEqualTo(Optional.of("large"));
        assertThat(second.minConfidence()).isZero();
    }

    @Test
    void silentSendIsResentOnlyIfItIsProbablyLost() {
        state.upstreams().put(Fixtures.upstream("a", "model"), NOW_NANOS);
        state.upstreams().put(Fixtures.upstream("b", "model"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("chat"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        assertThat(mayResendAfter(job, send, Duration.ofMillis(500))).isFalse();
        assertThat(mayResendAfter(job, send, Duration.ofMillis(2500))).isTrue();
    }

    private boolean mayResendAfter(Job job, Send send, Duration silence) {
        return state.mayResend(job, send, false, silence, NOW_NANOS + silence.toNanos());
    }

    @Test
    void unsafeRequestIsNeverResent() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        state.upstreams().put(Fixtures.upstream("b", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        Send send = (Send) Fixtures.place(state, job, NOW_NANOS);
        assertThat(mayResendAfter(job, send, Duration.ofMillis(2500))).isFalse();
    }

    @Test
    void slowServiceAcceptsLowConfidenceAnswers() {
        state.upstreams().put(Fixtures.upstream("a", "model"), NOW_NANOS);
        long nowNanos = NOW_NANOS;
        for (int i = 0; i < 60; i++) {
            nowNanos += Fixtures.NANOS_PER_SECOND / 100;
            Fixtures.confirmConfig(state, nowNanos);
            Job job = Fixtures.admit(state, Fixtures.request("chat"), nowNanos);
            Send send = (Send) Fixtures.place(state, job, nowNanos);
            state.onResponseHeaders(
                    send, Optional.empty(), nowNanos + 10 * Fixtures.NANOS_PER_SECOND);
            state.onSendEnd(
                    job, "c" + i, Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED), nowNanos);
        }
        Job job = Fixtures.admit(state, Fixtures.request("chat"), nowNanos);
        assertThat(((Send) Fixtures.place(state, job, nowNanos)).minConfidence()).isZero();
    }

    @Test
    void jobTooCloseToItsDeadlineIsRefusedAsTooLate() {
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = Fixtures.admit(state, Fixtures.request("book"), NOW_NANOS);
        long laterNanos = NOW_NANOS + 3 * Fixtures.NANOS_PER_SECOND;
        assertThat(Fixtures.place(state, job, laterNanos))
                .isEqualTo(new Refused(RefusalCause.TOO_LATE));
    }
}
