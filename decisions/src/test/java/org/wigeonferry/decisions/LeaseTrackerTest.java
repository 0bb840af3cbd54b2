package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.NodeId;

class LeaseTrackerTest {
    private static final Duration LENGTH = Duration.ofSeconds(6);
    private static final NodeId SELF = new NodeId("entry-1.a");
    private static final Lease OTHERS = new Lease(new NodeId("entry-2.b"), 4, 9);

    private final LeaseTracker view = new LeaseTracker(SELF, LENGTH);

    @Test
    void takesAnAbsentLease() {
        assertThat(view.onRowRead(Optional.empty(), 0, 0)).isEqualTo(LeaseAction.TAKE);
        assertThat(view.nextLease(LeaseAction.TAKE).epoch()).isEqualTo(1);
    }

    @Test
    void waitsWhileTheRowChanges() {
        assertThat(view.onRowRead(Optional.of(OTHERS), 1, 0)).isEqualTo(LeaseAction.WAIT);
        long late = LENGTH.toNanos() + 1;
        assertThat(view.onRowRead(Optional.of(OTHERS), 2, late)).isEqualTo(LeaseAction.WAIT);
    }

    @Test
    void takesALapsedLeaseWithTheNextEpoch() {
        view.onRowRead(Optional.of(OTHERS), 1, 0);
        long late = LENGTH.toNanos() + 1;
        assertThat(view.onRowRead(Optional.of(OTHERS), 1, late)).isEqualTo(LeaseAction.TAKE);
        assertThat(view.nextLease(LeaseAction.TAKE)).isEqualTo(new Lease(SELF, 5, 10));
    }

    @Test
    void leaseSeenForTheFirstTimeHasNotLapsed() {
        long late = Duration.ofHours(1).toNanos();
        assertThat(view.onRowRead(Optional.of(OTHERS), 1, late)).isEqualTo(LeaseAction.WAIT);
    }

    @Test
    void renewsItsOwn() {
        Lease own = new Lease(SELF, 5, 10);
        assertThat(view.onRowRead(Optional.of(own), 7, 0)).isEqualTo(LeaseAction.RENEW);
        assertThat(view.nextLease(LeaseAction.RENEW)).isEqualTo(new Lease(SELF, 5, 11));
    }
}
