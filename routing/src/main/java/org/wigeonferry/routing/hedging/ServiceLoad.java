package org.wigeonferry.routing.hedging;

import java.time.Duration;

/**
 * The state of a service, as one router sees it, on which the use of a hedged send depends.
 *
 * <p>Immutable and thread safe.
 *
 * @param longWait wait that 95 of 100 sends do not exceed, beyond the work for their own prompt
 * @param typicalWait wait that half of the sends do not exceed
 * @param requestsWait whether requests of the service wait for an upstream with capacity
 * @param hasSpareRetries whether the retry budget allows retries that only speed up an answer
 * @param rollOutRunning whether a new release is being tried
 * @param firstSends first sends within the window of the limits
 * @param hedgedSends hedged sends within the same window
 */
public record ServiceLoad(
        Duration longWait,
        Duration typicalWait,
        boolean requestsWait,
        boolean hasSpareRetries,
        boolean rollOutRunning,
        int firstSends,
        int hedgedSends) {}
