package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.core_types.NodeId;

/**
 * One process's view of a lease row in the table service.
 *
 * <p>No clocks are compared between processes: another's lease has lapsed once its row has not
 * changed for the lease's length by this process's own monotonic clock, counted from the moment at
 * which the unchanged row was first seen. Every write of a holder carries the condition that the
 * row is still the one it wrote, so that a holder which was paused past its lease changes nothing.
 * Not thread safe; owned by the control thread.
 */
public final class LeaseTracker {
    private final NodeId self;
    private final Duration length;
    private Optional<Lease> seen = Optional.empty();
    private long seenVersion;
    private long firstSeenNanos;

    /** A view of the process itself; leases last for {@code length} after a change of the row. */
    public LeaseTracker(NodeId self, Duration length) {
        this.self = self;
        this.length = length;
    }

    /** Notes the row as read; tells what this process may do. */
    public LeaseAction onRowRead(Optional<Lease> row, long rowVersion, long nowNanos) {
        boolean changed = rowVersion != seenVersion || !row.equals(seen);
        if (changed) {
            seen = row;
            seenVersion = rowVersion;
            firstSeenNanos = nowNanos;
        }
        if (row.isEmpty()) {
            return LeaseAction.TAKE;
        }
        if (row.get().holder().equals(self)) {
            return LeaseAction.RENEW;
        }
        boolean lapsed = nowNanos - firstSeenNanos > length.toNanos();
        return lapsed ? LeaseAction.TAKE : LeaseAction.WAIT;
    }

    /** The lease that this process writes next. */
    public Lease nextLease(LeaseAction move) {
        long epoch = seen.map(Lease::epoch).orElse(0L);
        long turn = seen.map(Lease::writeCount).orElse(0L);
        return new Lease(self, move == LeaseAction.TAKE ? epoch + 1 : epoch, turn + 1);
    }
}
