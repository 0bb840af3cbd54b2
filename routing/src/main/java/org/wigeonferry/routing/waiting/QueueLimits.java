package org.wigeonferry.routing.waiting;

/**
 * Limits of what waits in one queue.
 *
 * <p>They bound the router's memory and the work of a decision; how long requests wait is bounded
 * by the rate at which the queue drains. Immutable and thread safe.
 */
public record QueueLimits(int requests, long tokens, long bytes) {
    private static final int DEFAULT_REQUESTS = 512;
    private static final long DEFAULT_TOKENS = 4_000_000;

    /** Limits for a process that may keep these bytes of bodies waiting. */
    public static QueueLimits withBytes(long bytes) {
        return new QueueLimits(DEFAULT_REQUESTS, DEFAULT_TOKENS, bytes);
    }

    /** Whether a queue with these sums is within the limits. */
    boolean allow(int waiting, long waitingTokens, long waitingBytes) {
        return waiting <= requests && waitingTokens <= tokens && waitingBytes <= bytes;
    }
}
