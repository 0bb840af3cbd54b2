package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RollOutTrackerTest {
    private static final long START = 1000 * RoutingFixtures.NANOS_PER_SECOND;
    private static final Duration DURATION = Duration.ofSeconds(20);

    private final RoutingState state = entry();

    private static RoutingState entry() {
        RoutingState state = RoutingFixtures.state(RoutingFixtures.config(1), START);
        for (int i = 0; i < 3; i++) {
            state.upstreams().put(RoutingFixtures.upstream("o" + i, "model", "v1", 0), START);
            state.upstreams().put(RoutingFixtures.upstream("n" + i, "model", "v2", 0), START);
        }
        state.rollOuts().onRollOutOrdered(new RollOut("model", "v2", DURATION, 5, START));
        return state;
    }

    private static Send send(RoutingState state, String session, long now) {
        RoutingFixtures.confirmConfig(state, now);
        RoutedRequest request =
                RoutingFixtures.request("chat", session + now, Optional.of(session));
        Job job = RoutingFixtures.admit(state, request, now);
        Send send = (Send) RoutingFixtures.place(state, job, now);
        state.onSendEnd(
                job, session, RoutingFixtures.reportWithHeaders(send, SendOutcome.ANSWERED), now);
        return send;
    }

    @Test
    void newReleaseGetsNoMoreThanItsShare() {
        Random random = new Random(3);
        int fresh = 0;
        int all = 0;
        for (int i = 0; i < 2000; i++) {
            long now = START + i * DURATION.toNanos() / 2001;
            fresh +=
                    send(state, "s" + random.nextInt(500), now).upstream().release().equals("v2")
                            ? 1
                            : 0;
            all++;
            assertThat(fresh).isLessThanOrEqualTo((int) (0.1 * all) + 2);
        }
        assertThat(fresh).isGreaterThan(20);
    }

    @Test
    void entriesDrawTheSameReleaseForASession() {
        RoutingState other = entry();
        int moved = 0;
        for (int i = 0; i < 400; i++) {
            long now = START + DURATION.toNanos() * 3 / 4 + i * 1_000_000L;
            String release = send(state, "s" + i, now).upstream().release();
            assertThat(send(other, "s" + i, now).upstream().release()).isEqualTo(release);
            moved += release.equals("v2") ? 1 : 0;
        }
        assertThat(moved).isPositive();
    }

    @Test
    void sessionThatReachesAnotherEntryInTheFirstHalfStaysOnTheOldRelease() {
        RoutingState other = entry();
        long first = START + 3 * RoutingFixtures.NANOS_PER_SECOND;
        long then = START + 7 * RoutingFixtures.NANOS_PER_SECOND;
        for (int i = 0; i < 400; i++) {
            assertThat(send(state, "s" + i, first).upstream().release()).isEqualTo("v1");
            assertThat(send(other, "s" + i, then).upstream().release()).isEqualTo("v1");
        }
    }

    @Test
    void sessionThatMovedAtAnotherEntryIsNotTakenBackToTheOldRelease() {
        RoutingState other = entry();
        long before = START + 9 * RoutingFixtures.NANOS_PER_SECOND;
        long after = START + 12 * RoutingFixtures.NANOS_PER_SECOND;
        for (int i = 0; i < 200; i++) {
            send(state, "s" + i, before);
            send(other, "t" + i, before);
        }
        int moved = 0;
        for (int i = 0; i < 100; i++) {
            String release = send(other, "s" + i, after).upstream().release();
            assertThat(send(state, "s" + i, after).upstream().release()).isEqualTo(release);
            moved += release.equals("v2") ? 1 : 0;
        }
        assertThat(moved).isPositive();
    }

    @Test
    void sessionStaysOnTheOldReleaseInTheFirstHalf() {
        for (int i = 0; i < 300; i++) {
            assertThat(send(state, "s" + i, START).upstream().release()).isEqualTo("v1");
        }
        for (int i = 0; i < 300; i++) {
            long now = START + 4 * RoutingFixtures.NANOS_PER_SECOND;
            assertThat(send(state, "s" + i, now).upstream().release()).isEqualTo("v1");
        }
    }

    @Test
    void badReleaseIsTakenBackAndGetsNothingAtOnce() {
        RollOut order = state.rollOuts().orders().get(0);
        ReleaseEvidence bad = new ReleaseEvidence(10, 4, 6, 0, 0, 0, 0);
        ReleaseEvidence old = new ReleaseEvidence(100, 99, 1, 0, 0, 0, 0);
        state.rollOuts()
                .applyPeerEvidence("peer", Map.of("model", new RollOutEvidence(5, bad, old)));
        long now = START + 6 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.rollOuts().nextState(order, now)).contains(RollOutState.ROLLED_BACK);
        for (int i = 0; i < 200; i++) {
            assertThat(send(state, "s" + i, now).upstream().release()).isEqualTo("v1");
        }
    }

    @Test
    void goodReleaseIsCompletedInTimeAndThenServesAll() {
        RollOut order = state.rollOuts().orders().get(0);
        ReleaseEvidence good = new ReleaseEvidence(30, 30, 0, 0, 0, 0, 0);
        state.rollOuts()
                .applyPeerEvidence("peer", Map.of("model", new RollOutEvidence(5, good, good)));
        long early = START + 5 * RoutingFixtures.NANOS_PER_SECOND;
        long late = START + 15 * RoutingFixtures.NANOS_PER_SECOND;
        assertThat(state.rollOuts().nextState(order, early)).contains(RollOutState.RUNNING);
        assertThat(state.rollOuts().nextState(order, late)).contains(RollOutState.COMPLETED);
        state.rollOuts().applyStatus(new RollOutStatus("model", "v2", RollOutState.COMPLETED, 6));
        assertThat(state.rollOuts().nextState(order, late)).isEmpty();
        assertThat(send(state, "s", late).upstream().release()).isEqualTo("v2");
    }

    @Test
    void stateOfAnEarlierOrderSaysNothing() {
        RollOut order = state.rollOuts().orders().get(0);
        state.rollOuts().applyStatus(new RollOutStatus("model", "v2", RollOutState.ROLLED_BACK, 4));
        assertThat(state.rollOuts().state(order)).isEmpty();
    }

    @Test
    void slowStartOfNewUpstreamsIsNoEvidence() {
        RollOut order = new RollOut("model", "v2", Duration.ofSeconds(8), 6, START);
        state.rollOuts().onRollOutOrdered(order);
        for (int i = 0; i < 300; i++) {
            send(state, "s" + i, START + 4_500_000_000L);
        }
        List<RollOutEvidence> seen = List.of(state.rollOuts().totalEvidence(order));
        assertThat(seen.get(0).fresh().timed()).isZero();
        assertThat(seen.get(0).fresh().good()).isPositive();
    }
}
