package org.wigeonferry.node_runtime.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * Guards against memory that stays reserved for a connection that is gone, after which the process
 * would refuse ordinary callers for good, and against a budget that is released twice.
 */
class ClosedConnectionHoldsNothingTest {
    private static final long LONG_AGO_NANOS = Duration.ofSeconds(5).toNanos();

    private final NodeMetrics metrics = new NodeMetrics();
    private final Ingress ingress = new Ingress(new IngressLimits(4, 100, 10, 10, 1, 1), metrics);
    private final AtomicInteger closes = new AtomicInteger();

    private GuardedConnection connection(long ageNanos) {
        long start = System.nanoTime() - ageNanos;
        return new GuardedConnection(ingress, closes::incrementAndGet, start);
    }

    private long heldBytes() {
        return (Long) metrics.registry().getGauges().get("ingress_held_bytes").getValue();
    }

    @Test
    void requestReleasesWhatItHeldOnce() {
        GuardedConnection connection = connection(0);
        assertThat(connection.tryHold(10)).isTrue();
        RequestHold hold = new RequestHold(connection, 10);
        assertThat(hold.tryAdd(20)).isTrue();
        assertThat(heldBytes()).isEqualTo(30);
        hold.close();
        hold.close();
        assertThat(heldBytes()).isZero();
    }

    @Test
    void closedConnectionReleasesAllOnceAndHoldsNoMore() {
        GuardedConnection connection = connection(0);
        RequestHold hold = new RequestHold(connection, 0);
        assertThat(hold.tryAdd(20)).isTrue();
        connection.releaseAll();
        hold.close();
        assertThat(hold.tryAdd(1)).isFalse();
        assertThat(heldBytes()).isZero();
    }

    @Test
    void slowConnectionGivesItsMemoryAndPlaceToANewOne() {
        GuardedConnection slow = connection(LONG_AGO_NANOS);
        assertThat(ingress.tryAdd(slow)).isTrue();
        for (int i = 0; i < 3; i++) {
            assertThat(ingress.tryAdd(connection(0))).isTrue();
        }
        assertThat(slow.tryHold(90)).isTrue();
        GuardedConnection next = connection(0);
        assertThat(ingress.tryAdd(next)).isTrue();
        assertThat(next.tryHold(80)).isTrue();
        assertThat(closes).hasValue(1);
        assertThat(heldBytes()).isEqualTo(80);
    }

    @Test
    void newConnectionIsRefusedIfNoneIsSlow() {
        for (int i = 0; i < 4; i++) {
            assertThat(ingress.tryAdd(connection(0))).isTrue();
        }
        assertThat(ingress.tryAdd(connection(0))).isFalse();
        assertThat(closes).hasValue(0);
    }
}
