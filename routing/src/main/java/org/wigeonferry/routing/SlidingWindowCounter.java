package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

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

    /** Events at or after a time within the window. */
    int countSince(long sinceNanos, long nowNanos) {
        dropOld(nowNanos);
        return (int) eventNanos.stream().filter(t -> t - sinceNanos >= 0).count();
    }

    /** The time of the first event at or after a time within the window; empty if there is none. */
    OptionalLong firstSince(long sinceNanos, long nowNanos) {
        dropOld(nowNanos);
        return eventNanos.stream()
                .filter(t -> t - sinceNanos >= 0)
                .mapToLong(Long::longValue)
                .findFirst();
    }

    private void dropOld(long nowNanos) {
        while (!eventNanos.isEmpty() && nowNanos - eventNanos.peekFirst() >= windowNanos) {
            eventNanos.removeFirst();
        }
    }
}
