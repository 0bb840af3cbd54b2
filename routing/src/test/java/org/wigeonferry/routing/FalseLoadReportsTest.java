package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.IntSupplier;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.prediction.Prediction;

/**
 * An upstream that reports an odd or a false pace, or reports that are late, must neither take all
 * requests nor spoil the predictions.
 */
class FalseLoadReportsTest {
    private static final int UPSTREAMS = 4;
    private static final int REQUESTS = 2000;
    private static final long WORK_NANOS = 20_000_000;
    private static final long GAP_NANOS = 30_000_000;

    /** Bound of a prediction: 20 ms, the work, times the limits of learned speed and pace. */
    private static final Duration MAX_TIME = Duration.ofMillis(20 * 6 * 4);

    /** Twice an even share. */
    private static final double MAX_SHARE = 2.0 / UPSTREAMS;

    private static final ReplayTraffic CALLS = new ReplayTraffic("call", "look", 1, 0, 0, 0, 0);

    private long nowNanos = Fixtures.NANOS_PER_SECOND;
    private final RoutingState state = Fixtures.state(Fixtures.config(1), nowNanos);
    private final Random random = new Random(21);

    /** Sends to upstream 0, which takes as long as the others, in the second half of the run. */
    private double shareOfFirst(IntSupplier paceOfFirst) {
        for (int i = 0; i < UPSTREAMS; i++) {
            state.upstreams().put(Fixtures.upstream("d" + i, "desk"), nowNanos);
        }
        int sends = 0;
        for (int i = 0; i < REQUESTS; i++) {
            nowNanos += GAP_NANOS;
            Fixtures.confirmConfig(state, nowNanos);
            Job job = Fixtures.admit(state, CALLS.request("id" + i), nowNanos);
            Send send = (Send) Fixtures.place(state, job, nowNanos);
            boolean first = send.upstream().id().equals("d0");
            sends += first && i >= REQUESTS / 2 ? 1 : 0;
            int pace = first ? paceOfFirst.getAsInt() : 100;
            ReportedLoad load = new ReportedLoad(1, 0, 8, OptionalInt.of(pace));
            state.onResponseHeaders(send, Optional.of(load), nowNanos + WORK_NANOS);
            state.onSendEnd(
                    job,
                    "content",
                    Fixtures.reportWithHeaders(send, SendOutcome.ANSWERED),
                    nowNanos + WORK_NANOS);
            send.prediction()
                    .filter(Prediction::learned)
                    .ifPresent(p -> assertThat(p.time()).isBetween(Duration.ZERO, MAX_TIME));
        }
        return sends / (REQUESTS / 2.0);
    }

    /** A full upstream refuses at once, which must not attract the requests of all routers. */
    @Test
    void refusalsDoNotMakeAnUpstreamLookFast() {
        shareOfFirst(() -> 100);
        Job job = Fixtures.admit(state, CALLS.request("idle"), nowNanos);
        Duration before = state.startEstimate().timeToFirstByte(job, nowNanos).orElseThrow();
        for (int i = 0; i < 200; i++) {
            Job refused = Fixtures.admit(state, CALLS.request("refused" + i), nowNanos);
            Send send = (Send) Fixtures.place(state, refused, nowNanos);
            state.onResponseHeaders(send.withoutPrediction(), Optional.empty(), nowNanos + 100_000);
            state.onSendEnd(
                    refused,
                    "content",
                    Fixtures.reportWithHeaders(send, SendOutcome.NOT_RUN),
                    nowNanos + 100_000);
        }
        assertThat(state.startEstimate().timeToFirstByte(job, nowNanos)).contains(before);
    }

    @Test
    void claimToBeFastAllTheTimeIsLearned() {
        assertThat(shareOfFirst(() -> 25)).isLessThan(MAX_SHARE);
    }

    @Test
    void claimToBeSlowAllTheTimeIsLearned() {
        assertThat(shareOfFirst(() -> 500)).isBetween(0.02, MAX_SHARE);
    }

    @Test
    void impossiblePacesAreIgnored() {
        assertThat(shareOfFirst(() -> random.nextBoolean() ? 0 : Integer.MAX_VALUE))
                .isLessThan(MAX_SHARE);
    }

    @Test
    void randomPacesGainNoMoreThanTheyLose() {
        assertThat(shareOfFirst(() -> 25 + random.nextInt(475))).isLessThan(MAX_SHARE);
    }

    /** A datagram that is late, or that claims to come from the future, must change nothing. */
    @Test
    void lateReportsAreIgnored() {
        state.upstreams().put(Fixtures.upstream("d0", "desk"), nowNanos);
        UpstreamState upstream = state.upstreams().upstreamStates().iterator().next();
        forward(100, Duration.ZERO);
        nowNanos += GAP_NANOS;
        forward(250, Duration.ofMillis(200));
        forward(250, Duration.ofSeconds(1000));
        forward(250, Duration.ofSeconds(-1));
        assertThat(upstream.speed().pace(nowNanos)).isLessThan(1.05);
    }

    /** A service is placed by its own reports alone: no other service has to report a pace. */
    @Test
    void reportWithoutAPaceLeavesThePresentCostInForce() {
        assertThat(state.upstreams().serviceSpeed("desk").reportsPace(nowNanos)).isFalse();
        state.upstreams().put(Fixtures.upstream("d0", "desk"), nowNanos);
        ReportedLoad load = new ReportedLoad(1, 0, 8, OptionalInt.empty());
        forward(load, Duration.ZERO);
        assertThat(state.upstreams().serviceSpeed("desk").reportsPace(nowNanos)).isFalse();
        forward(100, Duration.ZERO);
        assertThat(state.upstreams().serviceSpeed("desk").reportsPace(nowNanos)).isTrue();
        assertThat(state.upstreams().serviceSpeed("model").reportsPace(nowNanos)).isFalse();
    }

    private void forward(int pace, Duration age) {
        forward(new ReportedLoad(1, 0, 8, OptionalInt.of(pace)), age);
    }

    private void forward(ReportedLoad load, Duration age) {
        state.upstreams()
                .recordForwardedLoads(List.of(new AgedLoad(Hashes.key("d0"), load, age)), nowNanos);
    }
}
