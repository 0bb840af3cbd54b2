package org.wigeonferry.agent;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.ControlThread;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.Dissemination;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.Exchanger;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.node_runtime.HttpPeerTransport;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.MetricsEndpoints;
import org.wigeonferry.node_runtime.NodeIdentity;
import org.wigeonferry.node_runtime.NodeKeys;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.node_runtime.PeerEndpoint;
import org.wigeonferry.node_runtime.ingress.Ingress;
import org.wigeonferry.node_runtime.ingress.IngressKeys;
import org.wigeonferry.platform_clients.HttpTableClient;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.settings.Settings;

/**
 * The process that runs beside an upstream and controls access to it: all requests to the upstream
 * go through this process.
 *
 * <p>Thread safe.
 */
public final class Agent implements Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Agent.class);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(1);

    private final ControlThread control = new ControlThread("control");
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlState state;
    private final Admission admission;
    private final HttpClient upstreamClient;
    private final HttpClient peerClient;
    private final Server server;
    private final Duration refusalPeriodAfterDrain;

    /**
     * Starts the peer server, the exchange with peers and the watch of the upstream.
     *
     * @throws StepException if the server cannot start
     */
    public Agent(Settings settings) throws StepException {
        NodeIdentity identity = identityFrom(settings);
        state = new ControlState(identity, settings);
        admission = new Admission(state, settings);
        refusalPeriodAfterDrain = settings.value(NodeKeys.STOP_GRACE);
        upstreamClient = HttpClients.startHttp1("upstream-client", CONNECT_TIMEOUT);
        peerClient = HttpClients.startHttp2("peer-client", CONNECT_TIMEOUT);
        Exchanger exchanger =
                new Exchanger(
                        control,
                        state,
                        new HttpPeerTransport(peerClient, settings.value(NodeKeys.PEER_KEY)),
                        settings.value(NodeKeys.SEEDS),
                        Dissemination.noPush(),
                        EXCHANGE_TIMEOUT);
        OrderEndpoint orderEndpoint =
                new OrderEndpoint(
                        control, state, admission, exchanger, createRunner(settings), metrics);
        String key = settings.value(NodeKeys.PEER_KEY);
        EndpointDispatcher routes =
                new EndpointDispatcher()
                        .add(
                                "POST",
                                OrderEndpoint.PATH,
                                PeerEndpoint.requirePeerKey(key, orderEndpoint::serve))
                        .add(
                                "POST",
                                Exchanger.PATH,
                                PeerEndpoint.messageEndpoint(key, exchanger::handleMessage))
                        .add("GET", "/metrics", MetricsEndpoints.textEndpoint(metrics.registry()))
                        .add(
                                "GET",
                                "/metrics.json",
                                MetricsEndpoints.jsonEndpoint(metrics.registry()));
        server =
                HttpServers.start(
                        "agent",
                        identity.address(),
                        routes,
                        new Ingress(IngressKeys.limits(settings), metrics));
        exchanger.start(settings.value(NodeKeys.EXCHANGE_PERIOD));
        createUpstreamWatcher(settings).start();
        LOG.atInfo().addKeyValue("upstream", settings.value(AgentKeys.UPSTREAM)).log("agent up");
    }

    @Override
    public void drain(Duration deadline) {
        CountDownLatch drained = new CountDownLatch(1);
        Runnable scheduleEndOfDrain =
                () -> control.schedule(refusalPeriodAfterDrain, drained::countDown);
        control.execute(() -> admission.refuseNewAndRunWhenIdle(scheduleEndOfDrain));
        try {
            if (!drained.await(deadline.toMillis(), TimeUnit.MILLISECONDS)) {
                LOG.warn("stop deadline passed with work in flight");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void stop() {
        try {
            server.stop();
            upstreamClient.stop();
            peerClient.stop();
        } catch (Exception e) {
            LOG.warn("stop was not clean", e);
        }
        control.close();
    }

    private OrderRunner createRunner(Settings settings) {
        HostAddress upstream = settings.value(AgentKeys.UPSTREAM_ADDRESS);
        HttpTableClient table =
                new HttpTableClient(
                        new JsonHttpClient(
                                upstreamClient,
                                settings.value(NodeKeys.TABLE_ADDRESS),
                                settings.value(NodeKeys.TABLE_TIMEOUT)));
        OrderRunner modelRunner =
                new ModelRunner(upstreamClient, upstream, control, admission, metrics);
        OrderRunner serviceRunner =
                new ServiceRunner(
                        control,
                        admission,
                        new HttpServiceCalls(upstreamClient, upstream),
                        table,
                        new AbandonedRowWriter(control, table),
                        state.identity().incarnationId().value());
        return (order, message, sink) -> {
            OrderRunner runner = order.service().isPresent() ? serviceRunner : modelRunner;
            runner.run(order, message, sink);
        };
    }

    private UpstreamWatcher createUpstreamWatcher(Settings settings) {
        return new UpstreamWatcher(
                upstreamClient,
                settings.value(AgentKeys.UPSTREAM_ADDRESS),
                control,
                admission::onUpstreamCrash,
                admission::onHostDraining);
    }

    private static NodeIdentity identityFrom(Settings settings) {
        return new NodeIdentity(
                new NodeId(settings.value(NodeKeys.NAME)),
                Role.AGENT,
                new ZoneId(settings.value(NodeKeys.ZONE)),
                settings.value(NodeKeys.PEER_ADDRESS),
                System.currentTimeMillis());
    }
}
