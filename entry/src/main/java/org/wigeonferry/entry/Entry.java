package org.wigeonferry.entry;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.LeaseTracker;
import org.wigeonferry.decisions.Role;
import org.wigeonferry.decisions.RollOutGates;
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
import org.wigeonferry.platform_clients.HttpRatingClient;
import org.wigeonferry.platform_clients.HttpTableClient;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.platform_clients.TableService;
import org.wigeonferry.settings.Settings;

/**
 * The entry process: answers requests of callers and operators, and exchanges state with peers.
 *
 * <p>Thread safe.
 */
public final class Entry implements Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Entry.class);

    /** Number of peers to which an urgent change is sent at once. */
    private static final int URGENT_EXCHANGE_FANOUT = 6;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** The roll-out lease expires if it is not renewed within this number of check periods. */
    private static final int LEASE_LENGTH_IN_CHECK_PERIODS = 3;

    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(1);

    private final ControlThread control = new ControlThread("control");
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlState controlState;
    private final EntryState state;
    private final BillKeeper billKeeper;
    private final ReadinessEndpoint readiness;
    private final HttpClient platformClient;
    private final HttpClient peerClient;
    private final Server callerServer;
    private final Server peerServer;
    private final Server adminServer;
    private final Duration stopGrace;

    /**
     * Starts the servers and the periodic tasks; throws if a server can't listen on its address.
     */
    public Entry(Settings settings) throws StepException {
        controlState = new ControlState(createIdentity(settings), settings);
        state = new EntryState(control, controlState, settings);
        stopGrace = settings.value(NodeKeys.STOP_GRACE);
        readiness = new ReadinessEndpoint(control, controlState);
        platformClient = HttpClients.startHttp1("platform-client", CONNECT_TIMEOUT);
        peerClient = HttpClients.startHttp2("peer-client", CONNECT_TIMEOUT);
        TableService table = createTableService(settings);
        String peerKey = settings.value(NodeKeys.PEER_KEY);
        HttpPeerTransport peerCalls = new HttpPeerTransport(peerClient, peerKey);
        Exchanger exchanger =
                new Exchanger(
                        control,
                        controlState,
                        peerCalls,
                        settings.value(NodeKeys.SEEDS),
                        Dissemination.randomFanout(URGENT_EXCHANGE_FANOUT),
                        EXCHANGE_TIMEOUT);
        billKeeper = new BillKeeper(control, state, peerCalls, table, metrics);
        EntryRuntime runtime = createRuntime(settings, peerCalls, exchanger);
        StorePoller poller = new StorePoller(control, controlState, table);
        Committer committer =
                new Committer(control, controlState, table, poller, exchanger::pushToPeers);
        EndpointDispatcher adminRoutes = new EndpointDispatcher();
        new AdminEndpoints(
                        runtime,
                        committer,
                        table,
                        settings.value(EntrySettingKeys.ADMIN_KEY_DIGESTS))
                .addTo(adminRoutes);
        addMetrics(adminRoutes);
        Ingress ingress = new Ingress(IngressKeys.limits(settings), metrics);
        peerServer =
                HttpServers.start(
                        "peers",
                        controlState.identity().address(),
                        peerRoutes(peerKey, exchanger),
                        ingress);
        adminServer =
                HttpServers.start(
                        "admins",
                        settings.value(EntrySettingKeys.ADMIN_ADDRESS),
                        adminRoutes,
                        ingress);
        callerServer =
                HttpServers.start(
                        "callers",
                        settings.value(EntrySettingKeys.CALLER_ADDRESS),
                        callerRoutes(runtime, settings),
                        ingress);
        poller.start(settings.value(EntrySettingKeys.STORE_POLL_PERIOD));
        exchanger.start(settings.value(NodeKeys.EXCHANGE_PERIOD));
        billKeeper.start(settings.value(EntrySettingKeys.BILL_WRITE_PERIOD));
        createRollOutDriver(settings, table, committer)
                .start(settings.value(EntrySettingKeys.ROLLOUT_CHECK_PERIOD));
        LOG.atInfo().addKeyValue("node", controlState.identity().node()).log("entry up");
    }

    @Override
    public void drain(Duration timeout) {
        readiness.onStopping();
        CountDownLatch idle = new CountDownLatch(1);
        control.schedule(stopGrace, () -> state.stopAdmitting(idle::countDown));
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        try {
            if (!idle.await(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
                LOG.warn("stop deadline passed with requests in flight");
            }
            long timeLeftNanos = Math.max(0, deadlineNanos - System.nanoTime());
            boolean flushed = billKeeper.flush().get(timeLeftNanos, TimeUnit.NANOSECONDS);
            LOG.atInfo().addKeyValue("bills_durable", flushed).log("drained");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            LOG.warn("bills are left to the peers that hold them", e);
        }
    }

    @Override
    public void stop() {
        try {
            callerServer.stop();
            adminServer.stop();
            peerServer.stop();
            platformClient.stop();
            peerClient.stop();
        } catch (Exception e) {
            LOG.warn("stop was not clean", e);
        }
        control.close();
    }

    private EntryRuntime createRuntime(
            Settings settings, HttpPeerTransport peerCalls, Exchanger exchanger) {
        return new EntryRuntime(
                control,
                state,
                new AttemptClient(peerCalls, controlState.identity().address()),
                exchanger,
                billKeeper,
                new HttpRatingClient(
                        new JsonHttpClient(
                                platformClient,
                                settings.value(EntrySettingKeys.RATING_SERVICE_ADDRESS),
                                settings.value(EntrySettingKeys.RATING_TIMEOUT))),
                new SessionIds(settings.value(EntrySettingKeys.SESSION_KEY)),
                metrics);
    }

    private RollOutDriver createRollOutDriver(
            Settings settings, TableService table, Committer committer) {
        Duration leaseLength =
                settings.value(EntrySettingKeys.ROLLOUT_CHECK_PERIOD)
                        .multipliedBy(LEASE_LENGTH_IN_CHECK_PERIODS);
        LeaseTracker leaseTracker =
                new LeaseTracker(controlState.identity().incarnationId(), leaseLength);
        return new RollOutDriver(
                control,
                controlState,
                new LeaseKeeper(control, table, "lease/rollout", leaseTracker),
                committer::commit,
                RollOutGates.evidenceBased(
                        settings.value(EntrySettingKeys.ROLLOUT_MIN_SAMPLES),
                        settings.value(EntrySettingKeys.ROLLOUT_MAX_RATING_LOSS),
                        settings.value(EntrySettingKeys.ROLLOUT_MAX_ERROR_RATE_RISE)),
                settings.value(EntrySettingKeys.ROLLOUT_EXPOSURE_PERCENTS));
    }

    private TableService createTableService(Settings settings) {
        return new HttpTableClient(
                new JsonHttpClient(
                        platformClient,
                        settings.value(NodeKeys.TABLE_ADDRESS),
                        settings.value(NodeKeys.TABLE_TIMEOUT)));
    }

    private EndpointDispatcher peerRoutes(String peerKey, Exchanger exchanger) {
        return new EndpointDispatcher()
                .add(
                        "POST",
                        Exchanger.PATH,
                        PeerEndpoint.messageEndpoint(peerKey, exchanger::handleMessage))
                .add(
                        "POST",
                        BillKeeper.HOLD_PATH,
                        PeerEndpoint.messageEndpoint(peerKey, billKeeper::onHoldRequest));
    }

    private EndpointDispatcher callerRoutes(EntryRuntime runtime, Settings settings) {
        CallReader reader = new CallReader(settings.value(EntrySettingKeys.DEFAULT_TIME_LIMIT));
        ChatEndpoint chat = new ChatEndpoint(runtime, reader);
        ServiceEndpoint services = new ServiceEndpoint(runtime, reader);
        return new EndpointDispatcher()
                .add("POST", "/v1/chat/completions", chat.endpoint())
                .add("GET", "/v1/models", new ModelsEndpoint(controlState)::serve)
                .add("GET", ServiceEndpoint.PATH_PREFIX, services.endpoint())
                .add("POST", ServiceEndpoint.PATH_PREFIX, services.endpoint())
                .add("GET", "/ready", readiness::serve);
    }

    private void addMetrics(EndpointDispatcher routes) {
        routes.add("GET", "/metrics", MetricsEndpoints.textEndpoint(metrics.registry()));
        routes.add("GET", "/metrics.json", MetricsEndpoints.jsonEndpoint(metrics.registry()));
    }

    private static NodeIdentity createIdentity(Settings settings) {
        return new NodeIdentity(
                new NodeId(settings.value(NodeKeys.NAME)),
                Role.ENTRY,
                new ZoneId(settings.value(NodeKeys.ZONE)),
                settings.value(NodeKeys.PEER_ADDRESS),
                System.currentTimeMillis());
    }
}
