package org.wigeonferry.routing.waiting;

import java.time.Duration;

/**
 * Computes when a caller that was refused for load should come back.
 *
 * <p>Handles callers that are refused together and would all return together: they return after the
 * queue has drained, evenly spread over the time in which as many sends end as callers were
 * refused. Stateless and thread safe.
 */
public final class RetryAfter {
    /** Earlier returns would meet the same queue. */
    private static final Duration MIN = Duration.ofMillis(50);

    /** Callers have given up by then, and the rate is not known that far ahead. */
    private static final Duration MAX = Duration.ofSeconds(10);

    /** Used while no send has been answered, so that the rate is not known. */
    private static final Duration UNKNOWN_SPREAD = Duration.ofMillis(500);

    private RetryAfter() {}

    /**
     * The time after which to come back.
     *
     * @param waiting requests in the queue
     * @param recentRefusals callers that were refused lately and may return, this one included
     * @param fraction hash of the request, evenly distributed from 0 to 1
     */
    public static Duration of(
            DrainRate drainRate, int waiting, int recentRefusals, double fraction) {
        long queueNanos =
                MIN.toNanos() + drainRate.timeFor(waiting).orElse(Duration.ZERO).toNanos();
        long firstNanos = Math.min(queueNanos, MAX.toNanos() / 2);
        long spreadNanos =
                drainRate.timeFor(Math.max(1, recentRefusals)).orElse(UNKNOWN_SPREAD).toNanos();
        // Returns stay evenly spread if the rate would take longer than the longest time.
        long lastNanos = Math.min(firstNanos + spreadNanos, MAX.toNanos());
        return Duration.ofNanos(firstNanos + (long) (fraction * (lastNanos - firstNanos)));
    }
}
