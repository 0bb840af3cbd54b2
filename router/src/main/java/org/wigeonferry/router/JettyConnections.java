package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.util.Promise;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.router.connections.ConnectionRegistry;
import org.wigeonferry.routing.Incarnation;

/**
 * Opens, keeps and closes the connections to upstreams, as a {@link ConnectionRegistry} decides.
 *
 * <p>Thread safe.
 */
final class JettyConnections {
    private final HttpClient client;
    private final ConnectionRegistry<Connection> registry;
    private final NodeMetrics metrics;

    JettyConnections(
            HttpClient client, ConnectionRegistry<Connection> registry, NodeMetrics metrics) {
        this.client = client;
        this.registry = registry;
        this.metrics = metrics;
        metrics.registerGauge("upstream_connections_idle", registry::idleCount);
    }

    /** Whether connections are kept at all. */
    boolean keepsConnections() {
        return registry.keepsConnections();
    }

    /** Takes an idle connection that the upstream has not closed or sent bytes on, if any. */
    Optional<Connection> takeIdle(Incarnation upstream) {
        Optional<Connection> taken = registry.takeIdle(upstream, System.nanoTime());
        while (taken.isPresent() && !HttpClients.isQuiet(taken.get())) {
            close(upstream, taken.get());
            taken = registry.takeIdle(upstream, System.nanoTime());
        }
        taken.ifPresent(connection -> metrics.count("upstream_connections_reused"));
        return taken;
    }

    /** Opens a connection for a request; exactly one of the two actions is run. */
    void open(
            Incarnation upstream,
            Request request,
            Consumer<Connection> onOpened,
            Consumer<Throwable> onFailure) {
        closeAll(registry.onOpening(upstream));
        metrics.count("upstream_connections_opened");
        client.resolveDestination(request)
                .newConnection(
                        Promise.from(
                                connection -> {
                                    HttpClients.onClosed(
                                            connection,
                                            () -> registry.onIdleClosed(upstream, connection));
                                    onOpened.accept(connection);
                                },
                                onFailure));
    }

    /** Records that a connection could not be opened. */
    void onNotOpened(Incarnation upstream) {
        registry.onActiveClosed(upstream);
    }

    /** Closes the connection of a request. */
    void close(Incarnation upstream, Connection connection) {
        connection.close();
        registry.onActiveClosed(upstream);
    }

    /** Keeps the connection of a request that has ended, for this time at the longest. */
    void keep(Incarnation upstream, Connection connection, Duration idleTime) {
        HttpClients.refuseBytes(connection);
        closeAll(registry.keep(upstream, connection, System.nanoTime() + idleTime.toNanos()));
        if (connection.isClosed()) {
            registry.onIdleClosed(upstream, connection);
        }
    }

    /** Replaces the limits of the connections to each upstream, and closes those beyond them. */
    void setLimits(Map<Incarnation, Integer> limits) {
        closeAll(registry.setLimits(limits));
    }

    /** Closes the idle connections whose time is over. */
    void closeExpired() {
        closeAll(registry.removeExpired(System.nanoTime()));
    }

    private static void closeAll(List<Connection> connections) {
        connections.forEach(Connection::close);
    }
}
