package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a release that answers several times slower being completed: its first events are
 * in time, its slow streams have not ended when the decision is due, and the rest look sound.
 */
class SlowReleaseTest {
    private static final long START_NANOS = 1000 * Fixtures.NANOS_PER_SECOND;
    private static final RollOut ORDER =
            new RollOut("model", "v2", Duration.ofSeconds(20), 5, START_NANOS);

    private static final int BUSY = 40;
    private static final int IDLE = 2;

    private final RollOutTracker tracker = new RollOutTracker(Fixtures.LIMITS);
    private final RoutingState state = Fixtures.state(Fixtures.config(1), START_NANOS);
    private final Random random = new Random(11);

    SlowReleaseTest() {
        tracker.onRollOutOrdered(ORDER);
        tracker.applyStatus(new RollOutStatus("model", "v2", RollOutState.RUNNING, 6));
    }

    @Test
    void slowStreamsRollBackThoughTheirFirstEventsAreInTime() {
        answerOnOldRelease(60);
        for (int i = 0; i < 14; i++) {
            answer(send("v2", "small", i), i % 2 == 0 ? 8 : 1, IDLE);
        }
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
    }

    @Test
    void slowStreamsThatStillRunCount() {
        answerOnOldRelease(60);
        for (int i = 0; i < 9; i++) {
            answer(send("v2", "small", i), 1, IDLE);
        }
        for (int i = 9; i < 16; i++) {
            Send send = send("v2", "small", i);
            tracker.onSend(send, job(), send.startNanos());
            tracker.onStreamProgress(send, gap("small", 8, IDLE), IDLE);
        }
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
    }

    /** Few of its streams reach three times the usual gap, and its mean gap is below twice it. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void mildlySlowReleaseIsNotCompleted(int seed) {
        random.setSeed(seed);
        answerOnOldRelease(120);
        for (int i = 0; i < 25; i++) {
            answer(send("v2", "small", i), i % 5 < 2 ? 2.9 : 1, IDLE);
        }
        assertThat(nextState(Duration.ofMillis(18_400)))
                .isNotEqualTo(Optional.of(RollOutState.COMPLETED));
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
    }

    @Test
    void slowStreamThatEndsIsCountedOnce() {
        answerOnOldRelease(20);
        Send send = send("v2", "small", 1);
        tracker.onSend(send, job(), send.startNanos());
        tracker.onStreamProgress(send, gap("small", 8, IDLE), IDLE);
        assertThat(tracker.ownEvidence().get("model").fresh().bad()).isEqualTo(1);
        end(send, 8, IDLE, SendOutcome.ABANDONED);
        assertThat(tracker.ownEvidence().get("model").fresh().bad()).isEqualTo(1);
        assertThat(tracker.ownEvidence().get("model").fresh().gaps()).isEqualTo(1);
    }

    @Test
    void soundReleaseWithOtherModelsAndLoadIsCompleted() {
        answerOnOldRelease(120);
        for (int i = 0; i < 24; i++) {
            answer(send("v2", i % 4 == 0 ? "small" : "large", i), 1, i % 3 == 0 ? BUSY : IDLE);
        }
        assertThat(nextState()).contains(RollOutState.COMPLETED);
    }

    @Test
    void releaseWithoutStreamsToCompareIsNotCompleted() {
        answerOnOldRelease(60);
        for (int i = 0; i < 14; i++) {
            Send send = send("v2", "small", i);
            tracker.onSend(send, job(), send.startNanos());
            SendReport report =
                    new SendReport(
                            send,
                            SendOutcome.ANSWERED,
                            true,
                            Optional.of(Duration.ofMillis(100)),
                            Optional.empty());
            tracker.onSendEnd(report, job(), IDLE, send.startNanos());
        }
        assertThat(nextState(Duration.ofMillis(18_500))).isEmpty();
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
    }

    /** The state decided at the end of the roll-out, when a good release must be completed. */
    private Optional<RollOutState> nextState() {
        return nextState(Duration.ofSeconds(19));
    }

    private Optional<RollOutState> nextState(Duration elapsed) {
        return tracker.nextState(ORDER, START_NANOS + elapsed.toNanos());
    }

    private void answerOnOldRelease(int count) {
        List<String> models = new ArrayList<>(List.of("small", "large"));
        for (int i = 0; i < count; i++) {
            answer(send("v1", models.get(i % 2), i), 1, i % 5 == 0 ? IDLE : BUSY);
        }
    }

    private void answer(Send send, double slowness, int running) {
        tracker.onSend(send, job(), send.startNanos());
        end(send, slowness, running, SendOutcome.ANSWERED);
    }

    private void end(Send send, double slowness, int running, SendOutcome outcome) {
        SendReport report =
                new SendReport(
                        send,
                        outcome,
                        true,
                        Optional.of(Duration.ofMillis(100)),
                        Optional.of(gap(send.model().orElseThrow(), slowness, running)));
        tracker.onSendEnd(report, job(), running, send.startNanos());
    }

    /** A gap as engines make them: it grows with the model and the load, and varies. */
    private Duration gap(String model, double slowness, int running) {
        double millis = (model.equals("small") ? 5 : 50) * (1 + running / 16.0);
        double variation = Math.exp(0.3 * random.nextGaussian());
        return Duration.ofNanos((long) (millis * slowness * variation * 1_000_000));
    }

    private Job job() {
        return Fixtures.admit(state, Fixtures.request("chat"), START_NANOS);
    }

    private Send send(String release, String model, int number) {
        return new Send(
                Fixtures.upstream(release + '-' + number % 3, "model", release, 0),
                Optional.empty(),
                Optional.of(model),
                0,
                OptionalInt.empty(),
                Duration.ofSeconds(10),
                100,
                0,
                START_NANOS + 6 * Fixtures.NANOS_PER_SECOND + number * 100_000_000L,
                Optional.empty());
    }
}
