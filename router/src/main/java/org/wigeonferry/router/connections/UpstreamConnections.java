package org.wigeonferry.router.connections;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The connections to one incarnation of an upstream.
 *
 * <p>Invariant: there are at most {@code maxIdle} idle connections, and none beyond {@code maxOpen}
 * together with the active ones. Not thread safe.
 */
final class UpstreamConnections<C> {
    /** The connection that was used last comes first. */
    private final Deque<IdleConnection<C>> idle = new ArrayDeque<>();

    private final int maxIdle;
    private int maxOpen;
    private int active;

    UpstreamConnections(int maxIdle) {
        this.maxIdle = maxIdle;
    }

    /** Sets the largest number of connections; returns the idle ones to close. */
    List<C> setMaxOpen(int connections) {
        maxOpen = connections;
        return removeExcess();
    }

    /** Takes the connection that was used last, as the others are closer to their end. */
    Optional<C> takeIdle(long nowNanos) {
        Optional<C> taken =
                Optional.ofNullable(idle.peekFirst())
                        .filter(first -> first.isUsable(nowNanos))
                        .map(IdleConnection::connection);
        if (taken.isPresent()) {
            idle.removeFirst();
            active++;
        }
        return taken;
    }

    /** Counts a new connection; returns the idle ones to close in exchange. */
    List<C> addActive() {
        active++;
        return removeExcess();
    }

    void removeActive() {
        active--;
    }

    /** Makes an active connection idle; returns those to close, which may include it. */
    List<C> addIdle(C connection, long endNanos) {
        active--;
        idle.addFirst(new IdleConnection<>(connection, endNanos));
        return removeExcess();
    }

    boolean removeIdle(C connection) {
        return idle.removeIf(kept -> kept.connection() == connection);
    }

    /** Removes the idle connections whose time is over. */
    List<C> removeExpired(long nowNanos) {
        List<C> expired =
                idle.stream()
                        .filter(kept -> !kept.isUsable(nowNanos))
                        .map(IdleConnection::connection)
                        .toList();
        idle.removeIf(kept -> !kept.isUsable(nowNanos));
        return expired;
    }

    int idleCount() {
        return idle.size();
    }

    boolean isEmpty() {
        return active == 0 && idle.isEmpty();
    }

    private List<C> removeExcess() {
        List<C> excess = new ArrayList<>();
        while (!idle.isEmpty() && (idle.size() > maxIdle || active + idle.size() > maxOpen)) {
            excess.add(idle.removeLast().connection());
        }
        return excess;
    }
}
