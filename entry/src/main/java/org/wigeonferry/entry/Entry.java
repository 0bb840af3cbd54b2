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
import org.wigeonferry.platform_clients.HttpRatingService;
import org.wigeonferry.platform_clients.HttpTableService;
import org.wigeonferry.platform_clients.JsonCalls;
import org.wigeonferry.platform_clients.TableService;
import org.wigeonferry.settings.Settings;

/**
 * The process that answers callers and operators.
 *
 * <p>Thread safe.
 */
public final class Entry implements Daemon {
    private static final Logger LOG = LoggerFactory.getLogger(Entry.class);

    /** Peers that are told of news at once. */
    private static final int FANOUT = 6;

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

    /** Looks that a holder may miss before its lease lapses. */
    private static final int LEASE_PERIODS = 3;

    private static final Duration EXCHANGE_TIMEOUT = Duration.ofSeconds(1);

    private final ControlThread control = new ControlThread("control");
    private final NodeMetrics metrics = new NodeMetrics();
    private final ControlState shared;
    private final EntryState state;
    private final BillKeeper bills;
    private final ReadinessEndpoint readiness;
    private final HttpClient platformClient;
    private final HttpClient peerClient;
    private final Server callers;
    private final Server peers;
    private final Server admins;
    private final Duration stopGrace;

    /** Starts the entry. */
    public Entry(Settings settings) throws StepException {
        shared = new ControlState(identity(settings), settings);
        state = new EntryState(control, shared, settings);
        stopGrace = settings.value(NodeKeys.STOP_GRACE);
        readiness = new ReadinessEndpoint(control, shared);
        platformClient = HttpClients.startHttp1("platform-client", CONNECT_TIMEOUT);
        peerClient = HttpClients.startHttp2("peer-client", CONNECT_TIMEOUT);
        TableService table = table(settings);
        String key = settings.value(NodeKeys.PEER_KEY);
        HttpPeerTransport calls = new HttpPeerTransport(peerClient, key);
        Exchanger exchanger =
                new Exchanger(
                        control,
                        shared,
                        calls,
                        settings.value(NodeKeys.SEEDS),
                        Dissemination.randomFanout(FANOUT),
                        EXCHANGE_TIMEOUT);
        bills = new BillKeeper(control, state, calls, table, metrics);
        EntryRuntime runtime = runtime(settings, calls, exchanger);
        StorePoller poller = new StorePoller(control, shared, table);
        Committer committer = new Committer(control, shared, table, poller, exchanger::pushToPeers);
        EndpointDispatcher admin = new EndpointDispatcher();
        new AdminEndpoints(
                        runtime,
                        committer,
                        table,
                        settings.value(EntrySettingKeys.ADMIN_KEY_DIGESTS))
                .addTo(admin);
        addMetrics(admin);
        peers = HttpServers.start("peers", shared.identity().address(), peerRoutes(key, exchanger));
        admins = HttpServers.start("admins", settings.value(EntrySettingKeys.ADMIN_ADDRESS), admin);
        callers =
                HttpServers.start(
                        "callers",
                        settings.value(EntrySettingKeys.CALLER_ADDRESS),
                        callerRoutes(runtime, settings));
        poller.start(settings.value(EntrySettingKeys.STORE_POLL_PERIOD));
        exchanger.start(settings.value(NodeKeys.EXCHANGE_PERIOD));
        bills.start(settings.value(EntrySettingKeys.BILL_WRITE_PERIOD));
        driver(settings, table, committer)
                .start(settings.value(EntrySettingKeys.ROLLOUT_CHECK_PERIOD));
        LOG.atInfo().addKeyValue("node", shared.identity().node()).log("entry up");
    }

    @Override
    public void drain(Duration deadline) {
        readiness.onStopping();
        CountDownLatch idle = new CountDownLatch(1);
        control.schedule(stopGrace, () -> state.stopAdmitting(idle::countDown));
        long end = System.nanoTime() + deadline.toNanos();
        try {
            if (!idle.await(deadline.toMillis(), TimeUnit.MILLISECONDS)) {
                LOG.warn("stop deadline passed with requests in flight");
            }
            long left = Math.max(0, end - System.nanoTime());
            boolean flushed = bills.flush().get(left, TimeUnit.NANOSECONDS);
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
            callers.stop();
            admins.stop();
            peers.stop();
            platformClient.stop();
            peerClient.stop();
        } catch (Exception e) {
            LOG.warn("stop was not clean", e);
        }
        control.close();
    }

    private EntryRuntime runtime(Settings settings, HttpPeerTransport calls, Exchanger exchanger) {
        return new EntryRuntime(
                control,
                state,
                new AttemptClient(calls, shared.identity().address()),
                exchanger,
                bills,
                new HttpRatingService(
                        new JsonCalls(
                                platformClient,
                                settings.value(EntrySettingKeys.RATING_SERVICE_ADDRESS),
                                settings.value(EntrySettingKeys.RATING_TIMEOUT))),
                new SessionIds(settings.value(EntrySettingKeys.SESSION_KEY)),
                metrics);
    }

    private RollOutDriver driver(Settings settings, TableService table, Committer committer) {
        Duration leaseLength =
                settings.value(EntrySettingKeys.ROLLOUT_CHECK_PERIOD).multipliedBy(LEASE_PERIODS);
        LeaseTracker view = new LeaseTracker(shared.identity().incarnationId(), leaseLength);
        return new RollOutDriver(
                control,
                shared,
                new LeaseKeeper(control, table, "lease/rollout", view),
                committer::commit,
                RollOutGates.evidenceBased(
                        settings.value(EntrySettingKeys.ROLLOUT_MIN_SAMPLES),
                        settings.value(EntrySettingKeys.ROLLOUT_MAX_RATING_LOSS),
                        settings.value(EntrySettingKeys.ROLLOUT_MAX_ERROR_RATE_RISE)),
                settings.value(EntrySettingKeys.ROLLOUT_EXPOSURE_PERCENTS));
    }

    private TableService table(Settings settings) {
        return new HttpTableService(
                new JsonCalls(
                        platformClient,
                        settings.value(NodeKeys.TABLE_ADDRESS),
                        settings.value(NodeKeys.TABLE_TIMEOUT)));
    }

    private EndpointDispatcher peerRoutes(String key, Exchanger exchanger) {
        return new EndpointDispatcher()
                .add(
                        "POST",
                        Exchanger.PATH,
                        PeerEndpoint.messageEndpoint(key, exchanger::handleMessage))
                .add(
                        "POST",
                        BillKeeper.HOLD_PATH,
                        PeerEndpoint.messageEndpoint(key, bills::onHoldRequest));
    }

    private EndpointDispatcher callerRoutes(EntryRuntime runtime, Settings settings) {
        CallReader reader = new CallReader(settings.value(EntrySettingKeys.DEFAULT_TIME_LIMIT));
        ChatEndpoint chat = new ChatEndpoint(runtime, reader);
        ServiceEndpoint services = new ServiceEndpoint(runtime, reader);
        return new EndpointDispatcher()
                .add("POST", "/v1/chat/completions", chat.endpoint())
                .add("GET", "/v1/models", new ModelsEndpoint(shared)::serve)
                .add("GET", ServiceEndpoint.PATH_PREFIX, services.endpoint())
                .add("POST", ServiceEndpoint.PATH_PREFIX, services.endpoint())
                .add("GET", "/ready", readiness::serve);
    }

    private void addMetrics(EndpointDispatcher routes) {
        routes.add("GET", "/metrics", MetricsEndpoints.textEndpoint(metrics.registry()));
        routes.add("GET", "/metrics.json", MetricsEndpoints.jsonEndpoint(metrics.registry()));
    }

    private static NodeIdentity identity(Settings settings) {
        return new NodeIdentity(
                new NodeId(settings.value(NodeKeys.NAME)),
                Role.ENTRY,
                new ZoneId(settings.value(NodeKeys.ZONE)),
                settings.value(NodeKeys.PEER_ADDRESS),
                System.currentTimeMillis());
    }
}
