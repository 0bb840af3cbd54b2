package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.http2.RateControl;
import org.eclipse.jetty.http2.server.HTTP2CServerConnectionFactory;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.ingress.Ingress;
import org.wigeonferry.node_runtime.ingress.IngressConnectionFactory;
import org.wigeonferry.node_runtime.ingress.IngressConnector;
import org.wigeonferry.node_runtime.ingress.IngressHandler;

/**
 * Starts HTTP servers with bounds on header size, streams per connection and idle time.
 *
 * <p>Stateless and thread safe.
 */
public final class HttpServers {
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_STREAMS_PER_CONNECTION = 4096;
    private static final int SELECTORS = 2;

    /** How long a server that stops waits for requests in flight. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    /** Closes a connection without traffic after this time. */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    private HttpServers() {}

    /** Starts a server for HTTP/1.1 and HTTP/2, both without TLS. */
    public static Server start(String name, HostAddress address, Handler handler, Ingress ingress)
            throws StepException {
        return start(name, List.of(address), handler, ingress);
    }

    /** Starts a server that listens on several addresses. */
    public static Server start(
            String name, List<HostAddress> addresses, Handler handler, Ingress ingress)
            throws StepException {
        QueuedThreadPool threads =
                new QueuedThreadPool(PoolSizes.MAX_POOL_THREADS, PoolSizes.MIN_POOL_THREADS);
        threads.setName(name);
        threads.setDaemon(true);
        Server server = new Server(threads);
        addresses.forEach(address -> server.addConnector(connector(server, address, ingress)));
        server.setHandler(new GracefulHandler(new IngressHandler(handler)));
        server.setStopTimeout(STOP_TIMEOUT.toMillis());
        try {
            server.start();
        } catch (Exception e) {
            throw new StepException("start HTTP server " + name, addresses.toString(), e);
        }
        return server;
    }

    /** The port of the first address that a server listens on. */
    public static int port(Server server) {
        return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
    }

    private static ServerConnector connector(Server server, HostAddress address, Ingress ingress) {
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        configuration.setSendServerVersion(false);
        HTTP2CServerConnectionFactory http2 = new HTTP2CServerConnectionFactory(configuration);
        http2.setMaxConcurrentStreams(MAX_STREAMS_PER_CONNECTION);
        http2.setRateControlFactory(new RateControl.Factory() {});
        ServerConnector connector =
                new IngressConnector(
                        server,
                        SELECTORS,
                        ingress,
                        new IngressConnectionFactory(configuration),
                        http2);
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE_TIMEOUT.toMillis());
        return connector;
    }
}
