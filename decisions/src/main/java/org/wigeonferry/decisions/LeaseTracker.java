package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.NodeId;

/**
 * Tracks a lease row in the table service and decides whether this process may write it.
 *
 * <p>Clocks are never compared between processes. The lease of another process has expired once
 * this process has seen its row unchanged for the lease duration, by its own monotonic clock. Every
 * write under a lease carries the condition that the row is still the one that the holder wrote, so
 * a holder that was paused until its lease expired cannot write. Not thread safe; owned by the
 * control thread.
 */
public final class LeaseTracker {
    private final NodeId self;
    private final Duration leaseDuration;
    private Optional<Lease> lastRow = Optional.empty();
    private long lastRowVersion;
    private long rowFirstSeenNanos;

    /**
     * Tracks the row for the process {@code self}. The lease of another process expires if its row
     * doesn't change for {@code leaseDuration}.
     */
    public LeaseTracker(NodeId self, Duration leaseDuration) {
        this.self = self;
        this.leaseDuration = leaseDuration;
    }

    /**
     * Records the row as it was read, empty if absent, with the version that the table service gave
     * it; returns what this process may do.
     */
    public LeaseAction onRowRead(Optional<Lease> row, long rowVersion, long nowNanos) {
        boolean changed = rowVersion != lastRowVersion || !row.equals(lastRow);
        if (changed) {
            lastRow = row;
            lastRowVersion = rowVersion;
            rowFirstSeenNanos = nowNanos;
        }
        if (row.isEmpty()) {
            return LeaseAction.TAKE;
        }
        if (row.get().holder().equals(self)) {
            return LeaseAction.RENEW;
        }
        boolean expired = nowNanos - rowFirstSeenNanos > leaseDuration.toNanos();
        return expired ? LeaseAction.TAKE : LeaseAction.WAIT;
    }

    /** Returns the row that this process writes to take or renew the lease. */
    public Lease nextLease(LeaseAction action) {
        long epoch = lastRow.map(Lease::epoch).orElse(0L);
        long writeCount = lastRow.map(Lease::writeCount).orElse(0L);
        return new Lease(self, action == LeaseAction.TAKE ? epoch + 1 : epoch, writeCount + 1);
    }
}
