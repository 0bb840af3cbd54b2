package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts events of the last span of time.
 *
 * <p>Invariant: the times rise from head to tail. Not thread safe.
 */
final class SlidingWindowCounter {
    private final long spanNanos;
    private final Deque<Long> times = new ArrayDeque<>();

    SlidingWindowCounter(Duration span) {
        spanNanos = span.toNanos();
    }

    void add(long now) {
        times.addLast(now);
    }

    int count(long now) {
        while (!times.isEmpty() && now - times.peekFirst() >= spanNanos) {
            times.removeFirst();
        }
        return times.size();
    }
}
