package org.wigeonferry.decisions;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.wigeonferry.core_types.NodeId;

class LeaseTrackerTest {
    private static final Duration LEASE_DURATION = Duration.ofSeconds(6);
    private static final NodeId SELF = new NodeId("entry-1.a");
    private static final Lease LEASE_OF_OTHER =
            new Lease(new NodeId("entry-2.b"), /* epoch= */ 4, /* writeCount= */ 9);

    private final LeaseTracker tracker = new LeaseTracker(SELF, LEASE_DURATION);

    @Test
    void takesAnAbsentLease() {
        assertThat(tracker.onRowRead(Optional.empty(), 0, 0)).isEqualTo(LeaseAction.TAKE);
        assertThat(tracker.nextLease(LeaseAction.TAKE).epoch()).isEqualTo(1);
    }

    @Test
    void waitsWhileTheRowChanges() {
        assertThat(tracker.onRowRead(Optional.of(LEASE_OF_OTHER), 1, 0))
                .isEqualTo(LeaseAction.WAIT);
        long lateNanos = LEASE_DURATION.toNanos() + 1;
        assertThat(tracker.onRowRead(Optional.of(LEASE_OF_OTHER), 2, lateNanos))
                .isEqualTo(LeaseAction.WAIT);
    }

    @Test
    void takesAnExpiredLeaseWithTheNextEpoch() {
        tracker.onRowRead(Optional.of(LEASE_OF_OTHER), 1, 0);
        long lateNanos = LEASE_DURATION.toNanos() + 1;
        assertThat(tracker.onRowRead(Optional.of(LEASE_OF_OTHER), 1, lateNanos))
                .isEqualTo(LeaseAction.TAKE);
        assertThat(tracker.nextLease(LeaseAction.TAKE)).isEqualTo(new Lease(SELF, 5, 10));
    }

    @Test
    void leaseSeenForTheFirstTimeHasNotExpired() {
        long lateNanos = Duration.ofHours(1).toNanos();
        assertThat(tracker.onRowRead(Optional.of(LEASE_OF_OTHER), 1, lateNanos))
                .isEqualTo(LeaseAction.WAIT);
    }

    @Test
    void renewsItsOwnLease() {
        Lease own = new Lease(SELF, 5, 10);
        assertThat(tracker.onRowRead(Optional.of(own), 7, 0)).isEqualTo(LeaseAction.RENEW);
        assertThat(tracker.nextLease(LeaseAction.RENEW)).isEqualTo(new Lease(SELF, 5, 11));
    }
}
