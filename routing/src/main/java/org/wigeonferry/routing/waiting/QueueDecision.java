package org.wigeonferry.routing.waiting;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Whether a request may wait.
 *
 * <p>Immutable and thread safe.
 *
 * @param refusal why it may not; empty if it waits now
 * @param expectedWait how long it would wait in its place of the queue; zero if that is not known
 * @param evictions requests that had to leave the queue for it
 */
public record QueueDecision(
        Optional<WaitRefusal> refusal, Duration expectedWait, List<Eviction> evictions) {
    public QueueDecision {
        evictions = List.copyOf(evictions);
    }
}
