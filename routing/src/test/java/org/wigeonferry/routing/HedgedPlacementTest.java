package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.routing.hedging.HedgeNow;
import org.wigeonferry.routing.hedging.NoHedge;
import org.wigeonferry.routing.hedging.NoHedgeCause;

/**
 * Guards against hedged sends that break a rule of placement or a limit, and against cancelled ones
 * that count against their upstream or their request.
 */
class HedgedPlacementTest {
    private static final long START_NANOS = 100 * Fixtures.NANOS_PER_SECOND;
    private static final long MILLI_NANOS = 1_000_000;
    private static final int WARM_UP_SENDS = 200;

    private RoutingState state = newState(0.5);
    private long nowNanos = START_NANOS;

    private static RoutingState newState(double share) {
        return Fixtures.state(Fixtures.config(7), Fixtures.limits(share), START_NANOS);
    }

    /** Quick answers of an upstream that is always first, so that hedged sends may help. */
    @BeforeEach
    void warmUp() {
        put("a");
        for (int i = 0; i < WARM_UP_SENDS; i++) {
            Job job = admit("look");
            Send send = (Send) Fixtures.place(state, job, nowNanos);
            nowNanos += 20 * MILLI_NANOS;
            state.onResponseHeaders(send, Optional.empty(), nowNanos);
            end(job, Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED));
        }
    }

    private void put(String id) {
        state.upstreams().put(Fixtures.upstream(id, "desk"), nowNanos);
    }

    private Job admit(String route) {
        Fixtures.confirmConfig(state, nowNanos);
        return Fixtures.admit(state, Fixtures.request(route), nowNanos);
    }

    private boolean end(Job job, SendReport report) {
        return state.onSendEnd(job, "content", report, nowNanos);
    }

    private HedgePlan plan(Job job, Send first) {
        return state.planHedgedSend(job, first, "content", nowNanos, Fixtures.wallMillis(nowNanos));
    }

    /** Places a job, which then waits until a hedged send is due. */
    private Send placeAndWait(Job job) {
        Send first = (Send) Fixtures.place(state, job, nowNanos);
        nowNanos += 500 * MILLI_NANOS;
        return first;
    }

    private void assertRefused(NoHedgeCause cause) {
        Job job = admit("look");
        assertThat(plan(job, placeAndWait(job))).isEqualTo(HedgePlan.refused(cause));
    }

    @Test
    void secondUpstreamGetsTheHedgedSend() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        HedgePlan plan = plan(job, first);
        assertThat(plan.decision()).isEqualTo(new HedgeNow());
        assertThat(plan.send().orElseThrow().upstream().id()).isEqualTo("b");
        assertThat(job.possibleRuns()).isEqualTo(2);
    }

    @Test
    void firstUpstreamIsNotHedgedWithItself() {
        assertRefused(NoHedgeCause.NO_UPSTREAM);
    }

    @Test
    void drainingAndColdUpstreamsGetNoHedgedSend() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        state.upstreams()
                .put(
                        new UpstreamInstance(
                                new Incarnation("b", 1),
                                new HostAddress("127.0.0.1", 1000),
                                "desk",
                                Fixtures.ZONE,
                                "v1",
                                8,
                                true,
                                Duration.ZERO),
                        nowNanos);
        state.upstreams().put(Fixtures.upstream("c", "desk", "v1", 3000), nowNanos);
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.NO_UPSTREAM));
    }

    @Test
    void upstreamOfADisabledZoneGetsNoHedgedSend() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        state.setZoneDisabled(Fixtures.ZONE, true);
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.NO_UPSTREAM));
    }

    @Test
    void suspendedUpstreamGetsNoHedgedSend() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        Job other = admit("look");
        Send toB = (Send) Fixtures.place(state, other, nowNanos);
        assertThat(toB.upstream().id()).isEqualTo("b");
        end(other, Fixtures.reportWithoutHeaders(toB, SendOutcome.SILENT));
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.NO_UPSTREAM));
    }

    @Test
    void upstreamThatPausesOrNamesALimitGetsNoHedgedSend() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        put("c");
        state.upstreams()
                .notices()
                .record(
                        new Incarnation("b", 1),
                        new UpstreamAnnouncement(
                                false, Optional.of(Duration.ofSeconds(5)), OptionalDouble.empty()),
                        nowNanos);
        state.upstreams()
                .notices()
                .record(
                        new Incarnation("c", 1),
                        new UpstreamAnnouncement(false, Optional.empty(), OptionalDouble.of(1000)),
                        nowNanos);
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.NO_UPSTREAM));
    }

    @Test
    void unsafeRequestIsNeverHedged() {
        Job job = admit("book");
        Send first = placeAndWait(job);
        put("b");
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.DISABLED));
    }

    @Test
    void requestIsHedgedOnce() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        put("c");
        assertThat(plan(job, first).send()).isPresent();
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.DISABLED));
    }

    @Test
    void rollOutThatRunsStopsHedging() {
        state.rollOuts()
                .onRollOutOrdered(new RollOut("desk", "v2", Duration.ofSeconds(60), 5, nowNanos));
        put("b");
        assertRefused(NoHedgeCause.ROLL_OUT);
    }

    @Test
    void revokedKeyStopsHedging() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        state.updateConfig(
                RoutingConfig.builder(8)
                        .requireKeys()
                        .addRoute(Fixtures.route("look", RequestKind.SAFE, "desk"))
                        .build());
        Fixtures.confirmConfig(state, nowNanos);
        assertThat(plan(job, first)).isEqualTo(HedgePlan.refused(NoHedgeCause.NOT_ALLOWED));
    }

    /** Each hedged send is a retry, and takes one from what is left for failures. */
    @Test
    void hedgedSendsUseTheRetryBudget() {
        put("b");
        int hedged = 0;
        NoHedgeCause lastCause = NoHedgeCause.DISABLED;
        for (int i = 0; i < 400; i++) {
            Job job = admit("look");
            Send first = (Send) Fixtures.place(state, job, nowNanos);
            HedgePlan plan =
                    state.planHedgedSend(
                            job,
                            first,
                            "content",
                            nowNanos + 500 * MILLI_NANOS,
                            Fixtures.wallMillis(nowNanos + 500 * MILLI_NANOS));
            hedged += plan.send().isPresent() ? 1 : 0;
            if (plan.decision() instanceof NoHedge none) {
                lastCause = none.cause();
                break;
            }
            end(job, Fixtures.reportWithHeaders(first, SendOutcome.ANSWERED));
            plan.send()
                    .ifPresent(
                            h -> end(job, Fixtures.reportWithHeaders(h, SendOutcome.SUPERSEDED)));
        }
        int firstSends = WARM_UP_SENDS + hedged + 1;
        assertThat(lastCause).isIn(NoHedgeCause.OVERLOADED, NoHedgeCause.SHARE_USED);
        assertThat(hedged).isPositive().isLessThanOrEqualTo((int) (0.5 * firstSends));
    }

    /** Roll-outs are judged by first attempts, which a hedged send must not take out of account. */
    @Test
    void firstSendStaysTheFirstAttemptWhenItIsHedged() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        Send hedge = plan(job, first).send().orElseThrow();
        assertThat(job.firstAttemptOf(first)).contains(RequestKind.SAFE);
        assertThat(job.firstAttemptOf(hedge)).isEmpty();
    }

    @Test
    void cancelledLoserIsNoFailureOfItsUpstreamAndNoCrash() {
        Job job = admit("look");
        Send first = placeAndWait(job);
        put("b");
        Send hedge = plan(job, first).send().orElseThrow();
        boolean condemned = end(job, Fixtures.reportWithoutHeaders(first, SendOutcome.SUPERSEDED));
        end(job, Fixtures.reportWithHeaders(hedge, SendOutcome.ANSWERED));
        UpstreamState loser = state.upstreams().state(first.upstream().incarnation()).orElseThrow();
        assertThat(condemned).isFalse();
        assertThat(loser.isSuspended(nowNanos)).isFalse();
        assertThat(loser.failureShare()).isZero();
        assertThat(loser.runningSends()).isZero();
        assertThat(loser.queuedTokens()).isZero();
        assertThat(job.possibleRuns()).isEqualTo(2);
    }

    /** Otherwise a send before the cancelled one would seem to be passed by it, and be given up. */
    @Test
    void cancelledLoserDoesNotOvertakeEarlierSends() {
        Job job = admit("look");
        Send earlier = placeAndWait(job);
        UpstreamState upstream =
                state.upstreams().state(earlier.upstream().incarnation()).orElseThrow();
        Job later = admit("look");
        Send loser = placeAndWait(later);
        put("b");
        plan(later, loser);
        end(later, Fixtures.reportWithoutHeaders(loser, SendOutcome.SUPERSEDED));
        assertThat(upstream.noLaterSendIsResolved(earlier)).isTrue();
    }

    @Test
    void upstreamThatAnswersNothingIsNoLongerHedgedAfterTwoSeconds() {
        long silentSinceNanos = nowNanos;
        NoHedgeCause cause = NoHedgeCause.DISABLED;
        for (int i = 0; i < 10; i++) {
            Job job = admit("look");
            Send first = placeAndWait(job);
            put("b" + i);
            HedgePlan plan = plan(job, first);
            if (plan.decision() instanceof NoHedge none) {
                cause = none.cause();
                break;
            }
            end(job, Fixtures.reportWithoutHeaders(first, SendOutcome.SUPERSEDED));
            end(job, Fixtures.reportWithHeaders(plan.send().orElseThrow(), SendOutcome.ANSWERED));
            state.upstreams().remove("b" + i, nowNanos);
        }
        assertThat(cause).isEqualTo(NoHedgeCause.UPSTREAM_SILENT);
        assertThat(nowNanos - silentSinceNanos).isLessThanOrEqualTo(3 * Fixtures.NANOS_PER_SECOND);
    }
}
