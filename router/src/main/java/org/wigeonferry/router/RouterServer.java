package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.Control;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.MetricsEndpoints;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.Routes;

/**
 * Serves callers, readiness and metrics.
 *
 * <p>Thread safe.
 */
public final class RouterServer implements Daemon {
    private static final Logger LOG = LoggerFactory.getLogger("process");

    private static final int HEADER_BYTES = 32 << 10;

    /** Above the time for which callers keep an idle connection. */
    private static final Duration IDLE = Duration.ofSeconds(90);

    /** Least time between readiness turning red and the end: the balancer needs two misses. */
    private static final Duration LEAST_DRAIN = Duration.ofMillis(3500);

    private static final Duration DRAIN_LOOK = Duration.ofMillis(50);
    private static final int THREADS_MAX = 16;
    private static final int THREADS_MIN = 4;

    private final Control control;
    private final RouterControl router;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final CallerRequestHandler handler;
    private final Server callers;
    private final Server ready;
    private volatile boolean stopping;

    /** Starts the servers. */
    public RouterServer(
            RouterAddresses addresses,
            Control control,
            RouterControl router,
            UpstreamSender sender,
            WireProtocol protocol,
            NodeMetrics metrics)
            throws StepException {
        this.control = control;
        this.router = router;
        QueuedThreadPool threads = new QueuedThreadPool(THREADS_MAX, THREADS_MIN);
        threads.setName("callers");
        threads.setDaemon(true);
        handler =
                new CallerRequestHandler(
                        new CallContext(
                                control,
                                router.state(),
                                new TrafficExecutor(threads, metrics),
                                sender,
                                protocol,
                                new Refusals(),
                                metrics,
                                inFlight));
        metrics.gauge("in_flight", inFlight::get);
        callers = start(threads, addresses.callers(), handler);
        ready =
                HttpServers.start(
                        "ready",
                        List.of(addresses.readiness(), addresses.metrics()),
                        readiness(metrics));
    }

    @Override
    public void drain(Duration deadline) {
        LOG.atInfo().addKeyValue("in_flight", inFlight.get()).log("stopping");
        stopping = true;
        handler.onStopping();
        CompletableFuture<Void> done = new CompletableFuture<>();
        long start = control.nanoTime();
        lookAtDrain(start, deadline, done);
        done.join();
    }

    @Override
    public void stop() {
        try {
            callers.stop();
            ready.stop();
        } catch (Exception e) {
            LOG.warn("servers did not stop cleanly", e);
        }
        LOG.atInfo().addKeyValue("in_flight", inFlight.get()).log("stopped");
    }

    private void lookAtDrain(long start, Duration deadline, CompletableFuture<Void> done) {
        long spent = control.nanoTime() - start;
        boolean idle = inFlight.get() == 0 && spent >= LEAST_DRAIN.toNanos();
        if (idle || spent >= deadline.toNanos()) {
            done.complete(null);
            return;
        }
        control.after(DRAIN_LOOK, () -> lookAtDrain(start, deadline, done));
    }

    private Handler readiness(NodeMetrics metrics) {
        byte[] none = new byte[0];
        return new Routes()
                .add("GET", "/metrics", MetricsEndpoints.text(metrics.registry()))
                .add(
                        "GET",
                        "/",
                        (request, response, callback) ->
                                control.run(
                                        () ->
                                                Replies.bytes(
                                                        response,
                                                        callback,
                                                        router.isReady() && !stopping ? 200 : 503,
                                                        none)));
    }

    private static Server start(QueuedThreadPool threads, HostAddress address, Handler handler)
            throws StepException {
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(HEADER_BYTES);
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        ServerConnector connector =
                new DisconnectDetectingConnector(server, new HttpConnectionFactory(configuration));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(IDLE.toMillis());
        server.addConnector(connector);
        server.setHandler(handler);
        try {
            server.start();
        } catch (Exception e) {
            throw new StepException("start server for callers", address.toString(), e);
        }
        return server;
    }
}
