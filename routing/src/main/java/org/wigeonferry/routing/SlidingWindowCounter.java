package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts events within a sliding window.
 *
 * <p>Invariant: the times rise from head to tail. Not thread safe.
 */
final class SlidingWindowCounter {
    private final long windowNanos;
    private final Deque<Long> eventNanos = new ArrayDeque<>();

    SlidingWindowCounter(Duration window) {
        windowNanos = window.toNanos();
    }

    void add(long nowNanos) {
        dropOld(nowNanos);
        eventNanos.addLast(nowNanos);
    }

    int count(long nowNanos) {
        dropOld(nowNanos);
        return eventNanos.size();
    }

    private void dropOld(long nowNanos) {
        while (!eventNanos.isEmpty() && nowNanos - eventNanos.peekFirst() >= windowNanos) {
            eventNanos.removeFirst();
        }
    }
}
