package org.wigeonferry.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Guards against roll-outs that begin anew, or for an earlier release, because the store has come
 * back from an older copy and their rows are written again with other versions.
 */
class RollOutWrittenAgainTest {
    private static final long NOW_NANOS = 100 * Fixtures.NANOS_PER_SECOND;
    private static final String SERVICE = "desk";

    /** Version of the order's row before the restore. */
    private static final long REVISION = 500;

    /** Version of the order's row when it is written again. */
    private static final long LOWER_REVISION = 40;

    private final RollOutTracker rollOuts = new RollOutTracker(Fixtures.LIMITS);

    @Test
    void evidenceAndStartOfAnOrderAreKept() {
        rollOuts.onRollOutOrdered(order("v2", REVISION, 0));
        rollOuts.applyPeerEvidence("other", Map.of(SERVICE, evidence(REVISION)));
        rollOuts.onStoreRestored(after(5));
        rollOuts.onRollOutOrdered(order("v2", LOWER_REVISION, 6));
        RollOut order = onlyOrder();
        assertThat(order.revision()).isEqualTo(LOWER_REVISION);
        assertThat(order.startNanos()).isEqualTo(NOW_NANOS);
        assertThat(rollOuts.totalEvidence(order).sends()).isEqualTo(16);
    }

    @Test
    void earlierOrderOfTheCopyDoesNotReplaceTheNewestOne() {
        rollOuts.onRollOutOrdered(order("v2", REVISION - 100, 0));
        rollOuts.onRollOutOrdered(order("v3", REVISION, 1));
        rollOuts.onStoreRestored(after(5));
        rollOuts.onRollOutOrdered(order("v2", REVISION - 100, 6));
        assertThat(onlyOrder().release()).isEqualTo("v3");
    }

    @Test
    void otherOrderAfterTheRestoreCountsThoughItsVersionIsLower() {
        rollOuts.onRollOutOrdered(order("v2", REVISION, 0));
        rollOuts.applyStatus(status(RollOutState.ROLLED_BACK, REVISION + 1));
        rollOuts.onStoreRestored(after(5));
        rollOuts.onRollOutOrdered(order("v3", LOWER_REVISION, 6));
        assertThat(onlyOrder().release()).isEqualTo("v3");
        assertThat(rollOuts.state(onlyOrder())).isEmpty();
    }

    @Test
    void finalStateIsWrittenAgainUntilTheStoreHoldsItForTheOrder() {
        rollOuts.onRollOutOrdered(order("v2", REVISION, 0));
        rollOuts.applyStatus(status(RollOutState.ROLLED_BACK, REVISION + 1));
        assertThat(nextState()).isEmpty();
        rollOuts.onStoreRestored(after(5));
        rollOuts.applyStatus(status(RollOutState.RUNNING, LOWER_REVISION + 1));
        rollOuts.onRollOutOrdered(order("v2", LOWER_REVISION, 6));
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
        rollOuts.applyStatus(status(RollOutState.ROLLED_BACK, LOWER_REVISION - 1));
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
        rollOuts.removeStatus(SERVICE);
        assertThat(nextState()).contains(RollOutState.ROLLED_BACK);
        rollOuts.applyStatus(status(RollOutState.ROLLED_BACK, LOWER_REVISION + 2));
        assertThat(nextState()).isEmpty();
    }

    @Test
    void lostMoveGoesOnFromItsStart() {
        rollOuts.onRollOutOrdered(order("v2", REVISION, 0));
        rollOuts.applyMove(new TrafficMove(SERVICE, REVISION, REVISION + 2, after(3)));
        rollOuts.onStoreRestored(after(5));
        rollOuts.onRollOutOrdered(order("v2", LOWER_REVISION, 6));
        rollOuts.removeMove(SERVICE);
        TrafficMove lost = rollOuts.lostMove(onlyOrder()).orElseThrow();
        assertThat(lost).isEqualTo(new TrafficMove(SERVICE, LOWER_REVISION, 0, after(3)));
        rollOuts.applyMove(new TrafficMove(SERVICE, LOWER_REVISION, LOWER_REVISION + 2, after(3)));
        assertThat(rollOuts.lostMove(onlyOrder())).isEmpty();
    }

    private static long after(int seconds) {
        return NOW_NANOS + seconds * Fixtures.NANOS_PER_SECOND;
    }

    private static RollOut order(String release, long revision, int readAfterSeconds) {
        return new RollOut(
                SERVICE, release, Duration.ofSeconds(600), revision, after(readAfterSeconds));
    }

    private static RollOutStatus status(RollOutState state, long revision) {
        return new RollOutStatus(SERVICE, "v2", state, revision);
    }

    private static RollOutEvidence evidence(long revision) {
        return new RollOutEvidence(
                revision,
                new ReleaseEvidence(7, 7, 0, 0, 0, 0, 0),
                new ReleaseEvidence(9, 9, 0, 0, 0, 0, 0));
    }

    private RollOut onlyOrder() {
        return rollOuts.orders().get(0);
    }

    private Optional<RollOutState> nextState() {
        return rollOuts.nextState(onlyOrder(), after(7));
    }
}
