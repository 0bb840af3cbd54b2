package org.wigeonferry.routing;

import java.util.Comparator;

/**
 * Something that happens at a time of a {@link FleetReplay}; events of one time keep their order.
 */
record ReplayEvent(long nanos, long sequence, Runnable action) implements Comparable<ReplayEvent> {
    private static final Comparator<ReplayEvent> ORDER =
            Comparator.comparingLong(ReplayEvent::nanos).thenComparingLong(ReplayEvent::sequence);

    @Override
    public int compareTo(ReplayEvent other) {
        return ORDER.compare(this, other);
    }
}
