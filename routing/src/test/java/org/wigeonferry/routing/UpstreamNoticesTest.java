package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class UpstreamNoticesTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;
    private static final UpstreamAnnouncement LEAVING =
            new UpstreamAnnouncement(true, Optional.empty(), OptionalDouble.empty());

    private final RoutingState state = Fixtures.state(Fixtures.config(7), NOW_NANOS);

    private static UpstreamAnnouncement pause(int seconds) {
        return new UpstreamAnnouncement(
                false, Optional.of(Duration.ofSeconds(seconds)), OptionalDouble.empty());
    }

    private PlacementResult place(long nowNanos) {
        Fixtures.confirmConfig(state, nowNanos);
        Job job = Fixtures.admit(state, Fixtures.request("book"), nowNanos);
        return Fixtures.place(state, job, nowNanos);
    }

    @Test
    void noRowOrAnswerClearsThatAnIncarnationLeaves() {
        UpstreamInstance upstream = Fixtures.upstream("a", "desk");
        state.upstreams().put(upstream, NOW_NANOS);
        state.upstreams().notices().record(upstream.incarnation(), LEAVING, NOW_NANOS);
        state.upstreams().put(upstream, NOW_NANOS);
        state.upstreams().remove("a", NOW_NANOS);
        state.upstreams().put(upstream, NOW_NANOS);
        state.upstreams()
                .notices()
                .record(upstream.incarnation(), UpstreamAnnouncement.NONE, NOW_NANOS);
        assertThat(place(NOW_NANOS)).isEqualTo(new Refused(RefusalCause.NO_UPSTREAM));
    }

    @Test
    void newIncarnationStartsClean() {
        Incarnation old = new Incarnation("a", 0);
        state.upstreams().notices().record(old, LEAVING, NOW_NANOS);
        state.upstreams().put(Fixtures.upstream("a", "desk"), NOW_NANOS);
        assertThat(place(NOW_NANOS)).isInstanceOf(Send.class);
    }

    @Test
    void pausedUpstreamIsUsedAgainAfterItsPause() {
        UpstreamInstance upstream = Fixtures.upstream("a", "desk");
        state.upstreams().put(upstream, NOW_NANOS);
        state.upstreams().notices().record(upstream.incarnation(), pause(3), NOW_NANOS);
        state.upstreams().notices().record(upstream.incarnation(), pause(1), NOW_NANOS);
        Refused refused = (Refused) place(NOW_NANOS + 2 * Fixtures.NANOS_PER_SECOND);
        assertThat(refused.cause()).isEqualTo(RefusalCause.NO_UPSTREAM);
        assertThat(refused.retryAfter().orElseThrow()).isBetween(seconds(1), seconds(3));
        assertThat(place(NOW_NANOS + 5 * Fixtures.NANOS_PER_SECOND)).isInstanceOf(Send.class);
    }

    /** The load after a pause: 33 routers would send at its end, all in the same moment. */
    @Test
    void routersReturnOneAfterTheOther() {
        UpstreamNotices notices = new UpstreamNotices();
        Incarnation upstream = new Incarnation("a", 1);
        notices.record(upstream, pause(4), NOW_NANOS);
        List<Long> returns =
                IntStream.range(0, 33)
                        .mapToObj(i -> notices.pauseLeft(upstream, "r" + i, NOW_NANOS).toMillis())
                        .sorted()
                        .toList();
        assertThat(returns).allMatch(millis -> millis >= 4000 && millis <= 6000);
        long mostWithinATenth =
                returns.stream()
                        .mapToLong(
                                from ->
                                        returns.stream()
                                                .filter(t -> t >= from && t < from + 100)
                                                .count())
                        .max()
                        .orElseThrow();
        assertThat(mostWithinATenth).isLessThanOrEqualTo(8);
    }

    /**
     * Random announcements, rows, restarts and sends: none goes to an upstream against its word.
     */
    @Test
    void noSendGoesToAnUpstreamAgainstItsWord() {
        for (int seed = 0; seed < 30; seed++) {
            playRandomly(new Random(seed));
        }
    }

    private void playRandomly(Random random) {
        RoutingState fresh = Fixtures.state(Fixtures.config(7), NOW_NANOS);
        boolean[] leaving = new boolean[4];
        long[] pauseEnds = new long[4];
        int[] lives = new int[4];
        for (int step = 1; step < 400; step++) {
            long now = NOW_NANOS + step * 50_000_000L;
            int i = random.nextInt(4);
            Incarnation incarnation = new Incarnation("u" + i, lives[i]);
            switch (random.nextInt(6)) {
                case 0 -> {
                    leaving[i] = true;
                    fresh.upstreams().notices().record(incarnation, LEAVING, now);
                }
                case 1 -> {
                    pauseEnds[i] = Math.max(pauseEnds[i], now + 2 * Fixtures.NANOS_PER_SECOND);
                    fresh.upstreams().notices().record(incarnation, pause(2), now);
                }
                case 2 -> fresh.upstreams().remove("u" + i, now);
                case 3 -> {
                    lives[i]++;
                    leaving[i] = false;
                    pauseEnds[i] = 0;
                    fresh.upstreams().put(instance(i, lives[i]), now);
                }
                default -> fresh.upstreams().put(instance(i, lives[i]), now);
            }
            Fixtures.confirmConfig(fresh, now);
            Job job = Fixtures.admit(fresh, Fixtures.request("book"), now);
            if (Fixtures.place(fresh, job, now) instanceof Send send) {
                int target = Integer.parseInt(send.upstream().id().substring(1));
                assertThat(leaving[target]).isFalse();
                assertThat(pauseEnds[target]).isLessThanOrEqualTo(now);
            }
        }
    }

    private static UpstreamInstance instance(int number, int life) {
        UpstreamInstance plain = Fixtures.upstream("u" + number, "desk");
        return new UpstreamInstance(
                new Incarnation("u" + number, life),
                plain.address(),
                plain.service(),
                plain.zone(),
                plain.release(),
                plain.slots(),
                plain.draining(),
                plain.coldTimeLeft());
    }

    private static Duration seconds(int seconds) {
        return Duration.ofSeconds(seconds);
    }
}
