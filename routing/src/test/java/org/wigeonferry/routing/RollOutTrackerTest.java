package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RollOutTrackerTest {
    private static final long START_NANOS = 1000 * Fixtures.NANOS_PER_SECOND;
    private static final Duration DURATION = Duration.ofSeconds(20);

    private final RoutingState state = routerWithRollOut();

    private static RoutingState routerWithRollOut() {
        return routerWithRollOut(START_NANOS);
    }

    /** A router that learns of the order at a time. */
    private static RoutingState routerWithRollOut(long nowNanos) {
        RoutingState state = Fixtures.state(Fixtures.config(1), nowNanos);
        putUpstreams(state, nowNanos);
        state.rollOuts().onRollOutOrdered(new RollOut("model", "v2", DURATION, 5, nowNanos));
        return state;
    }

    private static void putUpstreams(RoutingState state, long nowNanos) {
        for (int i = 0; i < 3; i++) {
            state.upstreams().put(Fixtures.upstream("o" + i, "model", "v1", 0), nowNanos);
            state.upstreams().put(Fixtures.upstream("n" + i, "model", "v2", 0), nowNanos);
        }
    }

    /** Admits, places and answers one request of a session. */
    private static Send sendAndAnswer(RoutingState state, String session, long nowNanos) {
        Fixtures.confirmConfig(state, nowNanos);
        RoutedRequest request = Fixtures.request("chat", session + nowNanos, Optional.of(session));
        Job job = Fixtures.admit(state, request, nowNanos);
        Send send = (Send) Fixtures.place(state, job, nowNanos);
        state.onSendEnd(
                job, session, Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED), nowNanos);
        return send;
    }

    @Test
    void newReleaseGetsNoMoreThanItsShare() {
        Random random = new Random(3);
        int sentToNew = 0;
        int allSends = 0;
        for (int i = 0; i < 2000; i++) {
            long nowNanos = START_NANOS + i * DURATION.toNanos() / 2001;
            sentToNew +=
                    sendAndAnswer(state, "s" + random.nextInt(500), nowNanos)
                                    .upstream()
                                    .release()
                                    .equals("v2")
                            ? 1
                            : 0;
            allSends++;
            // The exposure share of the fixture's limits, and two sends on top of it.
            assertThat(sentToNew).isLessThanOrEqualTo((int) (0.1 * allSends) + 2);
        }
        assertThat(sentToNew).isGreaterThan(20);
    }

    @Test
    void routersSelectTheSameReleaseForASession() {
        RoutingState other = routerWithRollOut();
        int moved = 0;
        for (int i = 0; i < 400; i++) {
            long nowNanos = START_NANOS + DURATION.toNanos() * 3 / 4 + i * 1_000_000L;
            String release = sendAndAnswer(state, "s" + i, nowNanos).upstream().release();
            assertThat(sendAndAnswer(other, "s" + i, nowNanos).upstream().release())
                    .isEqualTo(release);
            moved += release.equals("v2") ? 1 : 0;
        }
        assertThat(moved).isPositive();
    }

    @Test
    void sessionThatReachesAnotherRouterInTheFirstHalfStaysOnTheOldRelease() {
        RoutingState other = routerWithRollOut();
        long firstNanos = START_NANOS + 3 * Fixtures.NANOS_PER_SECOND;
        long laterNanos = START_NANOS + 7 * Fixtures.NANOS_PER_SECOND;
        for (int i = 0; i < 400; i++) {
            assertThat(sendAndAnswer(state, "s" + i, firstNanos).upstream().release())
                    .isEqualTo("v1");
            assertThat(sendAndAnswer(other, "s" + i, laterNanos).upstream().release())
                    .isEqualTo("v1");
        }
    }

    /**
     * Sessions t0 to t199 give the other router enough sends to move sessions to the new release.
     */
    @Test
    void sessionMovedByAnotherRouterDoesNotReturnToTheOldRelease() {
        RoutingState other = routerWithRollOut();
        long beforeNanos = START_NANOS + 9 * Fixtures.NANOS_PER_SECOND;
        long afterNanos = START_NANOS + 12 * Fixtures.NANOS_PER_SECOND;
        for (int i = 0; i < 200; i++) {
            sendAndAnswer(state, "s" + i, beforeNanos);
            sendAndAnswer(other, "t" + i, beforeNanos);
        }
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            String release = sendAndAnswer(other, "s" + i, afterNanos).upstream().release();
            assertThat(sendAndAnswer(state, "s" + i, afterNanos).upstream().release())
                    .isEqualTo(release);
            moved += release.equals("v2") ? 1 : 0;
        }
        assertThat(moved).isPositive();
    }

    @Test
    void sessionStaysOnTheOldReleaseInTheFirstHalf() {
        for (int i = 0; i < 300; i++) {
            assertThat(sendAndAnswer(state, "s" + i, START_NANOS).upstream().release())
                    .isEqualTo("v1");
        }
        for (int i = 0; i < 300; i++) {
            long nowNanos = START_NANOS + 4 * Fixtures.NANOS_PER_SECOND;
            assertThat(sendAndAnswer(state, "s" + i, nowNanos).upstream().release())
                    .isEqualTo("v1");
        }
    }

    @Test
    void badReleaseIsRolledBackAndGetsNoMoreRequests() {
        RollOut order = state.rollOuts().orders().get(0);
        ReleaseEvidence bad = new ReleaseEvidence(10, 4, 6, 0, 0, 0, 0);
        ReleaseEvidence old = new ReleaseEvidence(100, 99, 1, 0, 0, 0, 0);
        state.rollOuts()
                .applyPeerEvidence("peer", Map.of("model", new RollOutEvidence(5, bad, old)));
        long nowNanos = START_NANOS + 6 * Fixtures.NANOS_PER_SECOND;
        assertThat(state.rollOuts().nextState(order, nowNanos)).contains(RollOutState.ROLLED_BACK);
        for (int i = 0; i < 200; i++) {
            assertThat(sendAndAnswer(state, "s" + i, nowNanos).upstream().release())
                    .isEqualTo("v1");
        }
    }

    private void confirmNewRelease() {
        ReleaseEvidence good = new ReleaseEvidence(30, 30, 0, 0, 0, 0, 0);
        state.rollOuts()
                .applyPeerEvidence("peer", Map.of("model", new RollOutEvidence(5, good, good)));
        state.rollOuts().applyStatus(new RollOutStatus("model", "v2", RollOutState.RUNNING, 6));
    }

    private static long atFraction(double elapsed) {
        return START_NANOS + (long) (elapsed * DURATION.toNanos());
    }

    @Test
    void goodReleaseIsCompletedAfterItsTrafficHasMovedAndThenServesAll() {
        RollOut order = state.rollOuts().orders().get(0);
        assertThat(state.rollOuts().nextState(order, atFraction(0.1)))
                .contains(RollOutState.RUNNING);
        confirmNewRelease();
        assertThat(state.rollOuts().shouldStartMove(order, atFraction(0.5))).isFalse();
        assertThat(state.rollOuts().shouldStartMove(order, atFraction(0.62))).isTrue();
        state.rollOuts().applyMove(new TrafficMove("model", 5, 7, atFraction(0.62)));
        assertThat(state.rollOuts().shouldStartMove(order, atFraction(0.63))).isFalse();
        assertThat(state.rollOuts().nextState(order, atFraction(0.8))).isEmpty();
        assertThat(state.rollOuts().nextState(order, atFraction(0.93)))
                .contains(RollOutState.COMPLETED);
        state.rollOuts().applyStatus(new RollOutStatus("model", "v2", RollOutState.COMPLETED, 8));
        assertThat(state.rollOuts().nextState(order, atFraction(0.94))).isEmpty();
        assertThat(sendAndAnswer(state, "s", atFraction(0.95)).upstream().release())
                .isEqualTo("v2");
    }

    /** The start of the move may have been lost, or the store away when it was due. */
    @Test
    void goodReleaseWhoseTrafficHasNotMovedIsCompletedInTime() {
        RollOut order = state.rollOuts().orders().get(0);
        confirmNewRelease();
        assertThat(state.rollOuts().nextState(order, atFraction(0.9))).isEmpty();
        assertThat(state.rollOuts().nextState(order, atFraction(0.93)))
                .contains(RollOutState.COMPLETED);
    }

    /**
     * The load right after a completion: all sessions at once on upstreams without cached prompts.
     * In no tenth of the move may more than its part of the sessions come over, and none returns.
     */
    @Test
    void sessionsMoveOneAfterTheOtherBeforeTheCompletion() {
        confirmNewRelease();
        long startNanos = atFraction(0.62);
        state.rollOuts().applyMove(new TrafficMove("model", 5, 7, startNanos));
        long movedBefore = 0;
        for (int step = 0; step <= 10; step++) {
            long nowNanos = startNanos + (long) (step * 0.02 * DURATION.toNanos());
            long moved = 0;
            for (int i = 0; i < 400; i++) {
                Send send = sendAndAnswer(state, "s" + i, nowNanos + i);
                moved += send.upstream().release().equals("v2") ? 1 : 0;
            }
            assertThat(moved).isBetween(movedBefore, movedBefore + 90);
            movedBefore = moved;
        }
        assertThat(movedBefore).isEqualTo(400);
    }

    /**
     * A router that restarts learns of the order and of the move late, and moves the same sessions.
     */
    @Test
    void routerThatRestartsWhileTrafficMovesServesSessionsOnTheSameRelease() {
        confirmNewRelease();
        long startNanos = atFraction(0.62);
        state.rollOuts().applyMove(new TrafficMove("model", 5, 7, startNanos));
        long nowNanos = startNanos + (long) (0.15 * DURATION.toNanos());
        RoutingState restarted = routerWithRollOut(nowNanos);
        restarted.rollOuts().applyMove(new TrafficMove("model", 5, 7, startNanos));
        int moved = 0;
        for (int i = 0; i < 400; i++) {
            String release = sendAndAnswer(state, "s" + i, nowNanos).upstream().release();
            assertThat(sendAndAnswer(restarted, "s" + i, nowNanos).upstream().release())
                    .isEqualTo(release);
            moved += release.equals("v2") ? 1 : 0;
        }
        assertThat(moved).isBetween(100, 350);
    }

    /** A release that is good until it gets load, as some are. */
    @Test
    void releaseThatTurnsBadWhileTrafficMovesIsRolledBack() {
        confirmNewRelease();
        state.rollOuts().applyMove(new TrafficMove("model", 5, 7, atFraction(0.62)));
        RollOut order = state.rollOuts().orders().get(0);
        ReleaseEvidence bad = new ReleaseEvidence(60, 30, 10, 0, 0, 0, 0);
        ReleaseEvidence old = new ReleaseEvidence(100, 99, 1, 0, 0, 0, 0);
        state.rollOuts()
                .applyPeerEvidence("peer", Map.of("model", new RollOutEvidence(5, bad, old)));
        assertThat(state.rollOuts().nextState(order, atFraction(0.7)))
                .contains(RollOutState.ROLLED_BACK);
        assertThat(sendAndAnswer(state, "s", atFraction(0.7)).upstream().release()).isEqualTo("v1");
    }

    /** The record may say that the release is known to be bad, or that its time is nearly up. */
    @Test
    void newReleaseGetsNothingBeforeTheStoredRecordIsRead() {
        RoutingState restarted =
                new RoutingState(
                        Fixtures.ZONE,
                        Fixtures.LIMITS,
                        new Freshness(Duration.ofSeconds(4), Duration.ofMillis(400)),
                        new ModelCascade(50),
                        () -> 0.5,
                        new LiveRouters("own", Set.of(), 1));
        restarted.updateConfig(Fixtures.config(1));
        putUpstreams(restarted, START_NANOS);
        restarted.rollOuts().onRollOutOrdered(new RollOut("model", "v2", DURATION, 5, START_NANOS));
        for (int i = 0; i < 200; i++) {
            assertThat(sendAndAnswer(restarted, "s" + i, atFraction(0.7)).upstream().release())
                    .isEqualTo("v1");
        }
    }

    @Test
    void recordedStartCountsWhicheverIsReadFirst() {
        RollOutStart start = new RollOutStart("model", 5, START_NANOS - DURATION.toNanos() / 2);
        state.rollOuts().applyStart(start);
        assertThat(state.rollOuts().orders().get(0).startNanos()).isEqualTo(start.startNanos());
        RollOutTracker tracker = new RollOutTracker(Fixtures.LIMITS);
        tracker.applyStart(start);
        tracker.onRollOutOrdered(new RollOut("model", "v2", DURATION, 5, START_NANOS));
        assertThat(tracker.orders().get(0).startNanos()).isEqualTo(start.startNanos());
        tracker.onRollOutOrdered(new RollOut("model", "v3", DURATION, 9, START_NANOS));
        assertThat(tracker.orders().get(0).startNanos()).isEqualTo(START_NANOS);
    }

    /** A write without an answer may be done seconds later, after the next one. */
    @Test
    void lateReportWithFewerSendsDoesNotShrinkTheEvidence() {
        RollOut order = state.rollOuts().orders().get(0);
        ReleaseEvidence early = new ReleaseEvidence(4, 2, 1, 0, 0, 0, 0);
        ReleaseEvidence late = new ReleaseEvidence(9, 4, 3, 0, 0, 0, 0);
        for (ReleaseEvidence evidence : List.of(late, early)) {
            RollOutEvidence both = new RollOutEvidence(5, evidence, ReleaseEvidence.NONE);
            state.rollOuts().applyPeerEvidence("peer", Map.of("model", both));
        }
        assertThat(state.rollOuts().totalEvidence(order).fresh().bad()).isEqualTo(3);
    }

    @Test
    void restoredEvidenceCountsForItsOrderOnly() {
        RollOut order = state.rollOuts().orders().get(0);
        ReleaseEvidence bad = new ReleaseEvidence(9, 4, 3, 0, 0, 0, 0);
        state.rollOuts()
                .restoreOwnEvidence(
                        Map.of("model", new RollOutEvidence(5, bad, ReleaseEvidence.NONE)));
        assertThat(state.rollOuts().ownEvidence().get("model").fresh()).isEqualTo(bad);
        assertThat(state.rollOuts().totalEvidence(order).fresh()).isEqualTo(bad);
        state.rollOuts().onRollOutOrdered(new RollOut("model", "v3", DURATION, 9, START_NANOS));
        assertThat(state.rollOuts().ownEvidence().get("model").fresh().bad()).isZero();
    }

    /** Its upstreams stay for some seconds. */
    @Test
    void releaseThatWasRolledBackGetsNothingWhenItsOrderIsRemoved() {
        RollOutStatus rolledBack = new RollOutStatus("model", "v2", RollOutState.ROLLED_BACK, 6);
        state.rollOuts().applyStatus(rolledBack);
        state.rollOuts().onRollOutRemoved("model");
        for (int i = 0; i < 200; i++) {
            assertThat(sendAndAnswer(state, "s" + i, START_NANOS).upstream().release())
                    .isEqualTo("v1");
        }
    }

    @Test
    void moveOfAnEarlierOrderIsIgnored() {
        RollOut order = state.rollOuts().orders().get(0);
        confirmNewRelease();
        state.rollOuts().applyMove(new TrafficMove("model", 4, 5, START_NANOS));
        assertThat(state.rollOuts().shouldStartMove(order, atFraction(0.62))).isTrue();
    }

    @Test
    void stateOfAnEarlierOrderIsIgnored() {
        RollOut order = state.rollOuts().orders().get(0);
        state.rollOuts().applyStatus(new RollOutStatus("model", "v2", RollOutState.ROLLED_BACK, 4));
        assertThat(state.rollOuts().state(order)).isEmpty();
    }

    @Test
    void answersDuringTheWarmUpOfNewUpstreamsAreNotTimed() {
        RollOut order = new RollOut("model", "v2", Duration.ofSeconds(8), 6, START_NANOS);
        state.rollOuts().onRollOutOrdered(order);
        for (int i = 0; i < 300; i++) {
            sendAndAnswer(state, "s" + i, START_NANOS + 4_500_000_000L);
        }
        List<RollOutEvidence> evidence = List.of(state.rollOuts().totalEvidence(order));
        assertThat(evidence.get(0).fresh().timed()).isZero();
        assertThat(evidence.get(0).fresh().good()).isPositive();
    }
}
