package org.wigeonferry.node_runtime.ingress;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Chooses the connection that is closed when a limit is reached.
 *
 * <p>Handles the load of callers that occupy all connections or all memory: the one that has been
 * silent for the longest time gives way to a caller that makes progress.
 *
 * <p>Immutable and thread safe.
 *
 * @param rates says which connections may be closed at all
 */
record SlowestChoice(LeastRates rates) {
    /** The connection to close; empty if all that qualify make progress. */
    <T> Optional<T> choose(
            Collection<T> connections,
            Function<T, ConnectionProgress> progressOf,
            Predicate<ConnectionProgress> qualifies) {
        return connections.stream()
                .map(connection -> new Candidate<>(connection, progressOf.apply(connection)))
                .filter(candidate -> qualifies.test(candidate.progress()))
                .filter(candidate -> rates.isTooSlow(candidate.progress()))
                .max(
                        Comparator.<Candidate<T>, Duration>comparing(
                                        candidate -> candidate.progress().silence())
                                .thenComparing(candidate -> candidate.progress().phaseTime()))
                .map(Candidate::connection);
    }
}
