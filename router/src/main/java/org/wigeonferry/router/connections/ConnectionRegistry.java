package org.wigeonferry.router.connections;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;
import org.wigeonferry.routing.Incarnation;

/**
 * Decides which connections to upstreams are kept, and which of them a request uses.
 *
 * <p>Handles the load in which a restart or a crash ends many connections at once: they belong to
 * an incarnation, so none of them serves the next one. Connections that methods return are to be
 * closed, unless they say otherwise.
 *
 * <p>Invariant: connections are kept only to upstreams with a limit. Thread safe.
 *
 * @param <C> a connection, compared by identity
 */
public final class ConnectionRegistry<C> {
    private final int maxIdlePerUpstream;
    private final Map<Incarnation, UpstreamConnections<C>> upstreams = new HashMap<>();
    private Map<Incarnation, Integer> maxConnections = Map.of();

    /** Creates a registry that keeps up to this number of idle connections to each upstream. */
    public ConnectionRegistry(int maxIdlePerUpstream) {
        this.maxIdlePerUpstream = maxIdlePerUpstream;
    }

    /** Whether any connections are kept. */
    public boolean keepsConnections() {
        return maxIdlePerUpstream > 0;
    }

    /**
     * Replaces the limits of the connections to each upstream, idle ones included. Upstreams
     * without a limit are gone or about to stop.
     */
    public synchronized List<C> setLimits(Map<Incarnation, Integer> limits) {
        maxConnections = Map.copyOf(limits);
        return removeFromAll((upstream, known) -> known.setMaxOpen(limitOf(upstream)));
    }

    /** Takes an idle connection for a request; the result is used and not closed. */
    public synchronized Optional<C> takeIdle(Incarnation upstream, long nowNanos) {
        return Optional.ofNullable(upstreams.get(upstream))
                .flatMap(known -> known.takeIdle(nowNanos));
    }

    /** Records that a connection is being opened for a request. */
    public synchronized List<C> onOpening(Incarnation upstream) {
        return upstreams.computeIfAbsent(upstream, this::newUpstream).addActive();
    }

    /** Records that an active connection, or one that was being opened, is closed. */
    public synchronized void onActiveClosed(Incarnation upstream) {
        UpstreamConnections<C> known = upstreams.get(upstream);
        known.removeActive();
        removeIfEmpty(upstream, known);
    }

    /** Records that an idle connection was closed, by whichever side; false if it is not idle. */
    public synchronized boolean onIdleClosed(Incarnation upstream, C connection) {
        UpstreamConnections<C> known = upstreams.get(upstream);
        if (known == null || !known.removeIdle(connection)) {
            return false;
        }
        removeIfEmpty(upstream, known);
        return true;
    }

    /** Keeps an active connection that serves no request any more. */
    public synchronized List<C> keep(Incarnation upstream, C connection, long endNanos) {
        UpstreamConnections<C> known = upstreams.get(upstream);
        List<C> excess = known.addIdle(connection, endNanos);
        removeIfEmpty(upstream, known);
        return excess;
    }

    /** Removes the idle connections whose time is over. */
    public synchronized List<C> removeExpired(long nowNanos) {
        return removeFromAll((upstream, known) -> known.removeExpired(nowNanos));
    }

    /** Number of idle connections to all upstreams. */
    public synchronized int idleCount() {
        return upstreams.values().stream().mapToInt(UpstreamConnections::idleCount).sum();
    }

    private UpstreamConnections<C> newUpstream(Incarnation upstream) {
        UpstreamConnections<C> connections = new UpstreamConnections<>(maxIdlePerUpstream);
        connections.setMaxOpen(limitOf(upstream));
        return connections;
    }

    private int limitOf(Incarnation upstream) {
        return maxConnections.getOrDefault(upstream, 0);
    }

    private List<C> removeFromAll(
            BiFunction<Incarnation, UpstreamConnections<C>, List<C>> removal) {
        List<C> removed = new ArrayList<>();
        upstreams.forEach((upstream, known) -> removed.addAll(removal.apply(upstream, known)));
        upstreams.values().removeIf(UpstreamConnections::isEmpty);
        return removed;
    }

    private void removeIfEmpty(Incarnation upstream, UpstreamConnections<C> known) {
        if (known.isEmpty()) {
            upstreams.remove(upstream);
        }
    }
}
