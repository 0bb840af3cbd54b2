package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RoutingStateTest {
    private static final long NOW_NANOS = 100 * RoutingFixtures.NANOS_PER_SECOND;

    private final RoutingState state = RoutingFixtures.state(RoutingFixtures.config(7), NOW_NANOS);

    @Test
    void refusesWhileNoConfigurationIsKnown() {
        RoutingState unconfigured =
                new RoutingState(
                        RoutingFixtures.ZONE,
                        RoutingFixtures.LIMITS,
                        state.freshness(),
                        new ModelCascade(50),
                        () -> 0,
                        new LiveRouters("own", Set.of(), 1));
        assertThat(
                        unconfigured.admit(
                                RoutingFixtures.request("book"),
                                NOW_NANOS,
                                RoutingFixtures.wallMillis(NOW_NANOS)))
                .isEqualTo(new Refused(RefusalCause.NO_CONFIGURATION));
    }

    @Test
    void ignoresOlderConfiguration() {
        assertThat(state.updateConfig(RoutingFixtures.config(6))).isFalse();
        assertThat(state.config().orElseThrow().revision()).isEqualTo(7);
    }

    @Test
    void unknownRouteIsReportedOnlyWhileTheConfigurationIsUpToDate() {
        RoutedRequest request = RoutingFixtures.request("nowhere");
        assertThat(state.admit(request, NOW_NANOS, RoutingFixtures.wallMillis(NOW_NANOS)))
                .isEqualTo(new Refused(RefusalCause.UNKNOWN_ROUTE));
        long laterNanos = NOW_NANOS + 5 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.admit(request, laterNanos, RoutingFixtures.wallMillis(laterNanos)))
                .isEqualTo(new Refused(RefusalCause.STALE_CONFIGURATION));
    }

    @Test
    void keyedRequestIsNotPlacedOnceTheConfigurationIsStale() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        long laterNanos = NOW_NANOS + 4 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(RoutingFixtures.place(state, job, laterNanos))
                .isEqualTo(new Refused(RefusalCause.STALE_CONFIGURATION));
    }

    @Test
    void revokedKeyAfterAPossibleRunIsRefusedAsOutcomeUnknown() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(send, SendOutcome.FAILED),
                NOW_NANOS);
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    @Test
    void admittedJobIsNotPlacedOnceItsKeyIsRevoked() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS)).isInstanceOf(Refused.class);
    }

    @Test
    void unsafeRequestIsNotSentAgainAfterABrokenConnection() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        state.upstreams().put(RoutingFixtures.upstream("b", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(send, SendOutcome.BROKEN),
                NOW_NANOS);
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    @Test
    void unsafeRequestIsSentElsewhereIfItProvablyDidNotRun() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        state.upstreams().put(RoutingFixtures.upstream("b", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        Send first = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(first, SendOutcome.NOT_RUN),
                NOW_NANOS);
        Send second = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        assertThat(second.upstream().id()).isNotEqualTo(first.upstream().id());
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(second, SendOutcome.NOT_RUN),
                NOW_NANOS);
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.NO_UPSTREAM));
    }

    @Test
    void upstreamInDisabledZoneGetsNoSends() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        state.setZoneDisabled(RoutingFixtures.ZONE, true);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS)).isInstanceOf(Refused.class);
        state.setZoneDisabled(RoutingFixtures.ZONE, false);
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS)).isInstanceOf(Send.class);
    }

    @Test
    void coldUpstreamGetsThisRoutersShareOfItsRate() {
        state.setLiveRouters(new LiveRouters("own", Set.of("own", "other"), 1));
        state.upstreams().put(RoutingFixtures.upstream("a", "model", "v1", 3000), NOW_NANOS);
        int sent = 0;
        for (int i = 0; i < 10; i++) {
            Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), NOW_NANOS);
            sent += RoutingFixtures.place(state, job, NOW_NANOS) instanceof Send ? 1 : 0;
        }
        assertThat(sent).isEqualTo(2);
    }

    @Test
    void coldRateHoldsWithMoreRoutersThanRequestsPerSecond() {
        Set<String> names = Set.of("1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12");
        int sent = 0;
        for (String name : names) {
            RoutingState one = RoutingFixtures.state(RoutingFixtures.config(7), NOW_NANOS);
            one.setLiveRouters(new LiveRouters(name, names, 1));
            one.upstreams().put(RoutingFixtures.upstream("a", "model", "v1", 3000), NOW_NANOS);
            Job job = RoutingFixtures.admit(one, RoutingFixtures.request("chat"), NOW_NANOS);
            sent += RoutingFixtures.place(one, job, NOW_NANOS) instanceof Send ? 1 : 0;
        }
        assertThat(sent).isEqualTo(4);
    }

    @Test
    void misdirectedSendRemovesTheUpstream() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(send, SendOutcome.MISDIRECTED),
                NOW_NANOS);
        assertThat(state.upstreams().upstream("a")).isEmpty();
    }

    private Send sendAndLoseConnection(String upstream) {
        state.upstreams().put(RoutingFixtures.upstream(upstream, "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithoutHeaders(send, SendOutcome.BROKEN),
                NOW_NANOS);
        return send;
    }

    @Test
    void requestThatLosesSeveralConnectionsInARowIsRefused() {
        sendAndLoseConnection("a");
        sendAndLoseConnection("b");
        sendAndLoseConnection("c");
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void connectionLossesAtOtherRoutersCount() {
        sendAndLoseConnection("a");
        state.poisonRegister().applyPeerLossCounts("peer", Map.of("content", 2), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        assertThat(RoutingFixtures.place(state, job, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void answerNotRunBetweenConnectionLossesDoesNotResetTheCount() {
        sendAndLoseConnection("a");
        sendAndLoseConnection("b");
        state.upstreams().put(RoutingFixtures.upstream("c", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(send, SendOutcome.NOT_RUN),
                NOW_NANOS);
        sendAndLoseConnection("d");
        Job next = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        assertThat(RoutingFixtures.place(state, next, NOW_NANOS))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void requestThatIsAnsweredBetweenConnectionLossesIsNotRefused() {
        sendAndLoseConnection("a");
        sendAndLoseConnection("b");
        state.upstreams().put(RoutingFixtures.upstream("c", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(send, SendOutcome.ANSWERED),
                NOW_NANOS);
        sendAndLoseConnection("d");
        Job next = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW_NANOS);
        assertThat(RoutingFixtures.place(state, next, NOW_NANOS)).isInstanceOf(Send.class);
    }

    @Test
    void lowConfidenceAnswerIsRetriedWithTheLargestModelEvenAtTheSameUpstream() {
        state.upstreams().put(RoutingFixtures.upstream("a", "model"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), NOW_NANOS);
        Send first = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        assertThat(first.model()).isEqualTo(Optional.of("small"));
        assertThat(first.minConfidence()).isEqualTo(50);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(first, SendOutcome.DOUBTED),
                NOW_NANOS);
        Send second = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        assertThat(second.model()).isEqualTo(Optional.of("large"));
        assertThat(second.minConfidence()).isZero();
    }

    @Test
    void silentSendIsResentOnlyIfItIsProbablyLost() {
        state.upstreams().put(RoutingFixtures.upstream("a", "model"), NOW_NANOS);
        state.upstreams().put(RoutingFixtures.upstream("b", "model"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        long soonNanos = NOW_NANOS + RoutingFixtures.NANOS_PER_SECOND / 2;
        long lateNanos = NOW_NANOS + 2 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.mayResend(job, send, false, soonNanos)).isFalse();
        assertThat(state.mayResend(job, send, false, lateNanos)).isTrue();
    }

    @Test
    void unsafeRequestIsNeverResent() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        state.upstreams().put(RoutingFixtures.upstream("b", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        Send send = (Send) RoutingFixtures.place(state, job, NOW_NANOS);
        long lateNanos = NOW_NANOS + 2 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.mayResend(job, send, false, lateNanos)).isFalse();
    }

    @Test
    void slowServiceAcceptsLowConfidenceAnswers() {
        state.upstreams().put(RoutingFixtures.upstream("a", "model"), NOW_NANOS);
        long nowNanos = NOW_NANOS;
        for (int i = 0; i < 60; i++) {
            nowNanos += RoutingFixtures.NANOS_PER_SECOND / 100;
            RoutingFixtures.confirmConfig(state, nowNanos);
            Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), nowNanos);
            Send send = (Send) RoutingFixtures.place(state, job, nowNanos);
            state.onResponseHeaders(
                    send, Optional.empty(), nowNanos + 10 * RoutingFixtures.NANOS_PER_SECOND);
            state.onSendEnd(
                    job,
                    "c" + i,
                    RoutingFixtures.reportWithHeaders(send, SendOutcome.ANSWERED),
                    nowNanos);
        }
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), nowNanos);
        assertThat(((Send) RoutingFixtures.place(state, job, nowNanos)).minConfidence()).isZero();
    }

    @Test
    void jobTooCloseToItsDeadlineIsRefusedAsTooLate() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW_NANOS);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW_NANOS);
        long laterNanos = NOW_NANOS + 3 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(RoutingFixtures.place(state, job, laterNanos))
                .isEqualTo(new Refused(RefusalCause.TOO_LATE));
    }
}
