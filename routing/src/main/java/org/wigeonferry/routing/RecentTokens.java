package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Sum of the tokens of the sends within a sliding window.
 *
 * <p>Owned by the control thread.
 */
final class RecentTokens {
    private final long windowNanos;
    private final Deque<Long> sendNanos = new ArrayDeque<>();
    private final Deque<Integer> sendTokens = new ArrayDeque<>();
    private long sum;

    RecentTokens(Duration window) {
        windowNanos = window.toNanos();
    }

    void add(int tokens, long nowNanos) {
        sendNanos.addLast(nowNanos);
        sendTokens.addLast(tokens);
        sum += tokens;
    }

    long sum(long nowNanos) {
        while (!sendNanos.isEmpty() && nowNanos - sendNanos.peekFirst() >= windowNanos) {
            sendNanos.removeFirst();
            sum -= sendTokens.removeFirst();
        }
        return sum;
    }
}
