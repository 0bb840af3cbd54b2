package org.wigeonferry.routing.waiting;

/**
 * A request that waits for room at an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param number identifies the request in its queue; ids that callers choose may repeat
 * @param account name of the client account; empty if requests need no key
 * @param rank urgency; 0 is the most urgent
 * @param tokens tokens of memory that the request takes at an upstream
 * @param bytes length of the body, which the router keeps while the request waits
 * @param arrivalNanos when the request began to wait
 * @param latestStartNanos when it must be sent at the latest to be answered in time
 */
public record WaitingRequest(
        long number,
        String account,
        int rank,
        long tokens,
        long bytes,
        long arrivalNanos,
        long latestStartNanos) {}
