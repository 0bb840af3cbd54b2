package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.MetricsEndpoints;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.ingress.Ingress;
import org.wigeonferry.node_runtime.ingress.IngressConnectionFactory;
import org.wigeonferry.node_runtime.ingress.IngressHandler;
import org.wigeonferry.node_runtime.ingress.IngressLimits;

/**
 * Serves callers, readiness and metrics.
 *
 * <p>Thread safe.
 */
public final class RouterServer implements Daemon {
    /** The heap divided by this is what incomplete responses may hold beyond small ones. */
    private static final int HEAP_PARTS_PER_RESPONSE_BUDGET = 8;

    private static final Logger LOG = LoggerFactory.getLogger("process");

    private static final int MAX_REQUEST_HEADER_BYTES = 32 << 10;

    /** Longer than callers keep an idle connection, so that the router does not close it first. */
    private static final Duration CALLER_IDLE_TIMEOUT = Duration.ofSeconds(90);

    /**
     * Shortest time between the moment from which readiness checks fail and the stop: the load
     * balancer stops sending requests only after two failed checks.
     */
    private static final Duration MIN_DRAIN_TIME = Duration.ofMillis(3500);

    /** Time before the end of a stop in which requests that are under way get their responses. */
    private static final Duration RESPONSE_TIME = Duration.ofMillis(400);

    private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(50);
    private static final int READY = 200;
    private static final int NOT_READY = 503;
    private static final byte[] EMPTY_BODY = {};
    private static final int MAX_CALLER_THREADS = 16;
    private static final int MIN_CALLER_THREADS = 4;

    private final ControlExecutor control;
    private final RouterControl routerControl;
    private final InFlightRequests inFlight = new InFlightRequests();
    private final CallerRequestHandler handler;
    private final Server callerServer;
    private final Server readinessServer;
    private volatile boolean stopping;

    /** Starts the servers for callers, readiness and metrics. */
    public RouterServer(
            RouterAddresses addresses,
            ControlExecutor control,
            RouterControl routerControl,
            UpstreamSender sender,
            WireProtocol protocol,
            IngressLimits limits,
            NodeMetrics metrics)
            throws StepException {
        this.control = control;
        this.routerControl = routerControl;
        QueuedThreadPool threads = new QueuedThreadPool(MAX_CALLER_THREADS, MIN_CALLER_THREADS);
        threads.setName("callers");
        threads.setDaemon(true);
        ResponseBudget responseBudget =
                new ResponseBudget(
                        Runtime.getRuntime().maxMemory() / HEAP_PARTS_PER_RESPONSE_BUDGET);
        handler =
                new CallerRequestHandler(
                        new CallContext(
                                control,
                                routerControl.state(),
                                new TrafficExecutor(threads, metrics),
                                sender,
                                protocol,
                                new Refusals(),
                                metrics,
                                responseBudget,
                                inFlight,
                                new WaitingCalls(
                                        control, routerControl.state().loadAdmission(), metrics)));
        metrics.registerGauge("in_flight", inFlight::count);
        metrics.registerGauge("response_bytes_reserved", responseBudget::reservedBytes);
        Ingress ingress = new Ingress(limits, metrics);
        ingress.addPressure(responseBudget::isUnderPressure);
        callerServer = start(threads, addresses.callers(), handler, ingress);
        readinessServer =
                HttpServers.start(
                        "ready",
                        List.of(addresses.readiness(), addresses.metrics()),
                        createReadinessAndMetricsHandler(metrics),
                        ingress);
    }

    @Override
    public void drain(Duration deadline) {
        LOG.atInfo().addKeyValue("in_flight", inFlight.count()).log("stopping");
        stopping = true;
        handler.onStopping();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        long startNanos = control.nanoTime();
        completeWhenDrained(startNanos, deadline, drained);
        control.schedule(deadline.minus(RESPONSE_TIME), inFlight::endCalls);
        drained.join();
    }

    @Override
    public void stop() {
        try {
            callerServer.stop();
            readinessServer.stop();
        } catch (Exception e) {
            LOG.warn("servers did not stop cleanly", e);
        }
        LOG.atInfo().addKeyValue("in_flight", inFlight.count()).log("stopped");
    }

    private void completeWhenDrained(
            long startNanos, Duration deadline, CompletableFuture<Void> drained) {
        long elapsedNanos = control.nanoTime() - startNanos;
        boolean idle = inFlight.count() == 0 && elapsedNanos >= MIN_DRAIN_TIME.toNanos();
        if (idle || elapsedNanos >= deadline.toNanos()) {
            drained.complete(null);
            return;
        }
        control.schedule(
                DRAIN_CHECK_INTERVAL, () -> completeWhenDrained(startNanos, deadline, drained));
    }

    private Handler createReadinessAndMetricsHandler(NodeMetrics metrics) {
        return new EndpointDispatcher()
                .add("GET", "/metrics", MetricsEndpoints.textEndpoint(metrics.registry()))
                .add(
                        "GET",
                        "/",
                        (request, response, callback) ->
                                control.execute(() -> replyToReadinessCheck(response, callback)));
    }

    private void replyToReadinessCheck(Response response, Callback callback) {
        boolean ready = !stopping && routerControl.isReady(System.currentTimeMillis());
        Replies.sendBytes(response, callback, ready ? READY : NOT_READY, EMPTY_BODY);
    }

    private static Server start(
            QueuedThreadPool threads, HostAddress address, Handler handler, Ingress ingress)
            throws StepException {
        Server server = new Server(threads);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setRequestHeaderSize(MAX_REQUEST_HEADER_BYTES);
        configuration.setSendServerVersion(false);
        configuration.setSendDateHeader(false);
        configuration.setUriCompliance(UriCompliance.UNSAFE);
        ServerConnector connector =
                new DisconnectDetectingConnector(
                        server, ingress, new IngressConnectionFactory(configuration));
        connector.setHost(address.host());
        connector.setPort(address.port());
        connector.setIdleTimeout(CALLER_IDLE_TIMEOUT.toMillis());
        server.addConnector(connector);
        server.setHandler(new IngressHandler(handler));
        try {
            server.start();
        } catch (Exception e) {
            throw new StepException("start server for callers", address.toString(), e);
        }
        return server;
    }
}
