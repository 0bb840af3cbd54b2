package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.prediction.ServiceSpeed;

class SilenceRuleTest {
    private static final long START_NANOS = 1000 * Fixtures.NANOS_PER_SECOND;
    private static final int SENDS = 2000;
    private static final int PROMPT_TOKENS = 4000;
    private static final Duration TIME_TO_READ = Duration.ofMillis(300);
    private static final Duration FIXED_LIMIT = Duration.ofSeconds(1);

    private final RoutingState state = Fixtures.state(Fixtures.config(1), START_NANOS);
    private final Route chat = Fixtures.route("chat", RequestKind.RESUMABLE_STREAM, "model");

    /**
     * The load at which engines have seconds of prompts in their queue: one engine that reads one
     * prompt after the other, busy for nine tenths of the time. Of the sends, all of which are
     * answered, few may be taken for lost; a fixed limit would take a third or more.
     */
    @Test
    void sendsInALongQueueAreNotTakenForLost() {
        state.upstreams().put(Fixtures.upstream("e", "model"), START_NANOS);
        Random random = new Random(5);
        double meanGapNanos = TIME_TO_READ.toNanos() / 0.9;
        WaitQuantile waits = new WaitQuantile(Duration.ofMillis(1500));
        UpstreamState engine = state.upstreams().upstreamStates().iterator().next();
        long nowNanos = START_NANOS;
        long freeNanos = START_NANOS;
        int takenForLost = 0;
        int overFixedLimit = 0;
        for (int i = 0; i < SENDS; i++) {
            nowNanos += (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos);
            freeNanos = Math.max(nowNanos, freeNanos) + TIME_TO_READ.toNanos();
            Send send = send(engine, nowNanos);
            Duration waited = Duration.ofNanos(freeNanos - nowNanos);
            takenForLost += SilenceRule.isLost(engine, send, waits.value(), waited) ? 1 : 0;
            overFixedLimit += waited.compareTo(FIXED_LIMIT) > 0 ? 1 : 0;
            waits.record(waited.minus(Slowness.timeToProcess(send)));
        }
        assertThat(overFixedLimit).isGreaterThan(SENDS / 3);
        assertThat(takenForLost).isLessThan(SENDS / 20);
    }

    @Test
    void pauseThatTheRouteAllowsIsNoStall() {
        UpstreamState engine =
                new UpstreamState(
                        Fixtures.upstream("e", "model"),
                        new UpstreamHistory(START_NANOS),
                        new ServiceSpeed(),
                        START_NANOS);
        Duration allowed = chat.maxEventGap();
        assertThat(isStalled(engine, allowed)).isFalse();
        assertThat(isStalled(engine, allowed.multipliedBy(2))).isFalse();
        assertThat(isStalled(engine, allowed.multipliedBy(2).plusMillis(1))).isTrue();
    }

    /** A connection that failed meanwhile speaks against the upstream. */
    @Test
    void pauseBeyondTheRoutesIsAStallIfOtherSendsFailed() {
        state.upstreams().put(Fixtures.upstream("e", "model"), START_NANOS);
        UpstreamState engine = state.upstreams().upstreamStates().iterator().next();
        Send send = send(engine, START_NANOS);
        engine.onSend(send, Fixtures.request("chat"), START_NANOS);
        engine.onSendEnd(Fixtures.reportWithoutHeaders(send, SendOutcome.NOT_SENT), START_NANOS);
        Duration allowed = chat.maxEventGap();
        assertThat(isStalled(engine, allowed)).isFalse();
        assertThat(isStalled(engine, allowed.plusMillis(101))).isTrue();
    }

    private boolean isStalled(UpstreamState engine, Duration silence) {
        return SilenceRule.isStalled(engine, chat, silence, START_NANOS + 1);
    }

    private static Send send(UpstreamState engine, long nowNanos) {
        return new Send(
                engine.instance(),
                Optional.empty(),
                Optional.of("large"),
                0,
                OptionalInt.empty(),
                Duration.ofSeconds(20),
                PROMPT_TOKENS,
                0,
                nowNanos,
                Optional.empty());
    }
}
