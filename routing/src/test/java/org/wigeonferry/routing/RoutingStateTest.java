package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RoutingStateTest {
    private static final long NOW = 100 * RoutingFixtures.NANOS_PER_SECOND;

    private final RoutingState state = RoutingFixtures.state(RoutingFixtures.config(7), NOW);

    @Test
    void refusesWhileNoConfigurationIsKnown() {
        RoutingState fresh =
                new RoutingState(
                        RoutingFixtures.ZONE,
                        RoutingFixtures.LIMITS,
                        state.freshness(),
                        new ModelCascade(50),
                        () -> 0,
                        new LiveRouters("own", Set.of(), 1));
        assertThat(
                        fresh.admit(
                                RoutingFixtures.request("book"),
                                NOW,
                                RoutingFixtures.wallMillis(NOW)))
                .isEqualTo(new Refused(RefusalCause.NO_CONFIGURATION));
    }

    @Test
    void olderConfigurationIsIgnored() {
        assertThat(state.updateConfig(RoutingFixtures.config(6))).isFalse();
        assertThat(state.config().orElseThrow().revision()).isEqualTo(7);
    }

    @Test
    void unknownRouteIsDeniedOnlyByAFreshConfiguration() {
        RoutedRequest request = RoutingFixtures.request("nowhere");
        assertThat(state.admit(request, NOW, RoutingFixtures.wallMillis(NOW)))
                .isEqualTo(new Refused(RefusalCause.UNKNOWN_ROUTE));
        long later = NOW + 5 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.admit(request, later, RoutingFixtures.wallMillis(later)))
                .isEqualTo(new Refused(RefusalCause.STALE_CONFIGURATION));
    }

    @Test
    void keyedRequestIsNotPlacedOnceTheConfigurationIsStale() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        long later = NOW + 4 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(RoutingFixtures.place(state, job, later))
                .isEqualTo(new Refused(RefusalCause.STALE_CONFIGURATION));
    }

    @Test
    void refusalAfterARunNeverSaysNotRunAlsoWhenStale() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job, "content", RoutingFixtures.reportWithHeaders(send, SendOutcome.FAILED), NOW);
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(RoutingFixtures.place(state, job, NOW))
                .isEqualTo(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    @Test
    void revokedKeyStopsAJobThatWaits() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        state.updateConfig(RoutingConfig.builder(8).requireKeys().build());
        assertThat(RoutingFixtures.place(state, job, NOW)).isInstanceOf(Refused.class);
    }

    @Test
    void unsafeRequestIsNotSentAgainAfterABrokenConnection() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        state.upstreams().put(RoutingFixtures.upstream("b", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job, "content", RoutingFixtures.reportWithHeaders(send, SendOutcome.BROKEN), NOW);
        assertThat(RoutingFixtures.place(state, job, NOW))
                .isEqualTo(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    @Test
    void unsafeRequestIsSentElsewhereIfItProvablyDidNotRun() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        state.upstreams().put(RoutingFixtures.upstream("b", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        Send first = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job, "content", RoutingFixtures.reportWithHeaders(first, SendOutcome.NOT_RUN), NOW);
        Send second = (Send) RoutingFixtures.place(state, job, NOW);
        assertThat(second.upstream().id()).isNotEqualTo(first.upstream().id());
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(second, SendOutcome.NOT_RUN),
                NOW);
        assertThat(RoutingFixtures.place(state, job, NOW))
                .isEqualTo(new Refused(RefusalCause.NO_UPSTREAM));
    }

    @Test
    void closedZoneAndLeavingUpstreamGetNothing() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        state.setZoneDisabled(RoutingFixtures.ZONE, true);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        assertThat(RoutingFixtures.place(state, job, NOW)).isInstanceOf(Refused.class);
        state.setZoneDisabled(RoutingFixtures.ZONE, false);
        assertThat(RoutingFixtures.place(state, job, NOW)).isInstanceOf(Send.class);
    }

    @Test
    void coldUpstreamGetsThisEntrysShareOfItsRate() {
        state.setLiveRouters(new LiveRouters("own", Set.of("own", "other"), 1));
        state.upstreams().put(RoutingFixtures.upstream("a", "model", "v1", 3000), NOW);
        int sent = 0;
        for (int i = 0; i < 10; i++) {
            Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), NOW);
            sent += RoutingFixtures.place(state, job, NOW) instanceof Send ? 1 : 0;
        }
        assertThat(sent).isEqualTo(2);
    }

    @Test
    void coldUpstreamBearsItsRateAlsoWithMoreEntriesThanThat() {
        Set<String> names = Set.of("1", "2", "3", "4", "5", "6", "7", "8", "9", "10", "11", "12");
        int sent = 0;
        for (String name : names) {
            RoutingState one = RoutingFixtures.state(RoutingFixtures.config(7), NOW);
            one.setLiveRouters(new LiveRouters(name, names, 1));
            one.upstreams().put(RoutingFixtures.upstream("a", "model", "v1", 3000), NOW);
            Job job = RoutingFixtures.admit(one, RoutingFixtures.request("chat"), NOW);
            sent += RoutingFixtures.place(one, job, NOW) instanceof Send ? 1 : 0;
        }
        assertThat(sent).isEqualTo(4);
    }

    @Test
    void misdirectedSendForgetsTheUpstream() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithHeaders(send, SendOutcome.MISDIRECTED),
                NOW);
        assertThat(state.upstreams().upstream("a")).isEmpty();
    }

    private Send look(String upstream) {
        state.upstreams().put(RoutingFixtures.upstream(upstream, "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job,
                "content",
                RoutingFixtures.reportWithoutHeaders(send, SendOutcome.BROKEN),
                NOW);
        return send;
    }

    @Test
    void contentThatBreaksUpstreamsInARowIsRefused() {
        look("a");
        look("b");
        look("c");
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        assertThat(RoutingFixtures.place(state, job, NOW))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void breaksAtOtherEntriesCount() {
        look("a");
        state.poisonRegister().applyPeerLossCounts("peer", Map.of("content", 2), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        assertThat(RoutingFixtures.place(state, job, NOW))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void refusalBetweenBreaksClearsNothing() {
        look("a");
        look("b");
        state.upstreams().put(RoutingFixtures.upstream("c", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job, "content", RoutingFixtures.reportWithHeaders(send, SendOutcome.NOT_RUN), NOW);
        look("d");
        Job next = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        assertThat(RoutingFixtures.place(state, next, NOW))
                .isEqualTo(new Refused(RefusalCause.POISON));
    }

    @Test
    void contentThatIsAnsweredBetweenBreaksIsNotRefused() {
        look("a");
        look("b");
        state.upstreams().put(RoutingFixtures.upstream("c", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        state.onSendEnd(
                job, "content", RoutingFixtures.reportWithHeaders(send, SendOutcome.ANSWERED), NOW);
        look("d");
        Job next = RoutingFixtures.admit(state, RoutingFixtures.request("look"), NOW);
        assertThat(RoutingFixtures.place(state, next, NOW)).isInstanceOf(Send.class);
    }

    @Test
    void answerInDoubtIsAskedOfTheLargestModelAlsoAtTheSameUpstream() {
        state.upstreams().put(RoutingFixtures.upstream("a", "model"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), NOW);
        Send first = (Send) RoutingFixtures.place(state, job, NOW);
        assertThat(first.model()).isEqualTo(Optional.of("small"));
        assertThat(first.minConfidence()).isEqualTo(50);
        state.onSendEnd(
                job, "content", RoutingFixtures.reportWithHeaders(first, SendOutcome.DOUBTED), NOW);
        Send second = (Send) RoutingFixtures.place(state, job, NOW);
        assertThat(second.model()).isEqualTo(Optional.of("large"));
        assertThat(second.minConfidence()).isZero();
    }

    @Test
    void silentSendIsMovedOnlyIfItLooksLost() {
        state.upstreams().put(RoutingFixtures.upstream("a", "model"), NOW);
        state.upstreams().put(RoutingFixtures.upstream("b", "model"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        long soon = NOW + RoutingFixtures.NANOS_PER_SECOND / 2;
        long late = NOW + 2 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.mayResend(job, send, false, soon)).isFalse();
        assertThat(state.mayResend(job, send, false, late)).isTrue();
    }

    @Test
    void unsafeRequestIsNeverMoved() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        state.upstreams().put(RoutingFixtures.upstream("b", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        Send send = (Send) RoutingFixtures.place(state, job, NOW);
        long late = NOW + 2 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.mayResend(job, send, false, late)).isFalse();
    }

    @Test
    void slowServiceTakesAnswersInDoubt() {
        state.upstreams().put(RoutingFixtures.upstream("a", "model"), NOW);
        long now = NOW;
        for (int i = 0; i < 60; i++) {
            now += RoutingFixtures.NANOS_PER_SECOND / 100;
            RoutingFixtures.confirmConfig(state, now);
            Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), now);
            Send send = (Send) RoutingFixtures.place(state, job, now);
            state.onResponseHeaders(
                    send, Optional.empty(), now + 10 * RoutingFixtures.NANOS_PER_SECOND);
            state.onSendEnd(
                    job,
                    "c" + i,
                    RoutingFixtures.reportWithHeaders(send, SendOutcome.ANSWERED),
                    now);
        }
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("chat"), now);
        assertThat(((Send) RoutingFixtures.place(state, job, now)).minConfidence()).isZero();
    }

    @Test
    void lateJobIsRefusedAsNotRun() {
        state.upstreams().put(RoutingFixtures.upstream("a", "desk"), NOW);
        Job job = RoutingFixtures.admit(state, RoutingFixtures.request("book"), NOW);
        long later = NOW + 3 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(RoutingFixtures.place(state, job, later))
                .isEqualTo(new Refused(RefusalCause.TOO_LATE));
    }
}
