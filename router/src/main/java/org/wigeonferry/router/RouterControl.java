package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.routing.Condemnation;
import org.wigeonferry.routing.LiveRouters;
import org.wigeonferry.routing.PoisonRegister;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.UpstreamInstance;

/**
 * Applies changes read from the store to the routing state, and runs the periodic checks: it
 * expires upstreams and routers, decides roll-outs and publishes the router report.
 *
 * <p>All methods but the constructor are called on the control thread.
 */
public final class RouterControl {
    /** Routers whose report has not changed for this long count as gone. */
    private static final Duration ROUTER_TIMEOUT = Duration.ofSeconds(15);

    /** Number of routers assumed until the reports of all routers have been read. */
    public static final int ASSUMED_ROUTER_COUNT = 8;

    /** Shortest outage of the store in which rows of live upstreams may have expired. */
    private static final Duration MIN_OUTAGE_TO_EXPIRE_ROWS = Duration.ofMillis(2400);

    /** Interval at which upstreams expire, roll-outs are decided and due reports are sent. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final String name;
    private final ControlExecutor control;
    private final RoutingState state;
    private final Optional<PeerAddress> peerAddress;
    private final StoreReporters reporters;
    private final RollOutMonitor rollOutMonitor;
    private final PeerDirectory peers;
    private final LiveRouterTracker liveRouters;
    private final ReportSchedule reportSchedule = new ReportSchedule();
    private boolean storeAnswers;
    private Optional<Long> unansweredSinceNanos = Optional.empty();
    private boolean allUpstreamsRead;
    private long heartbeat;

    /**
     * Creates the control state of the named router, which publishes through the given functions.
     *
     * @param peerAddress where this router takes load reports; empty if it takes none
     */
    public RouterControl(
            String name,
            ControlExecutor control,
            RoutingState state,
            Optional<PeerAddress> peerAddress,
            StoreReporters reporters) {
        this.name = name;
        this.control = control;
        this.state = state;
        this.peerAddress = peerAddress;
        this.reporters = reporters;
        rollOutMonitor = new RollOutMonitor(state.rollOuts(), reporters);
        peers = new PeerDirectory(name, peerAddress);
        state.poisonRegister().setCondemnationListener(RouterControl::logCondemned);
        liveRouters = new LiveRouterTracker(name, ROUTER_TIMEOUT, ASSUMED_ROUTER_COUNT);
    }

    /** Starts the periodic checks. */
    public void start() {
        control.scheduleWithFixedDelay(CHECK_INTERVAL, this::runChecks);
    }

    /** The routing state, which is owned by the control thread. */
    public RoutingState state() {
        return state;
    }

    /**
     * Applies a configuration; ignored unless its revision is higher than that of the current one.
     */
    public void onConfiguration(RoutingConfig config) {
        if (state.updateConfig(config)) {
            LOG.atInfo().addKeyValue("revision", config.revision()).log("configuration in force");
        }
    }

    /** Records that the current configuration was the newest at the given time. */
    public void onConfigurationConfirmed(long asOfNanos, long asOfWallMillis) {
        state.freshness().recordConfirmation(asOfNanos, asOfWallMillis);
    }

    /**
     * Records that the store answered. After a long outage, upstreams whose rows are gone are kept
     * for a while, as the rows may have expired only because the store was down.
     */
    public void onStoreAnswered() {
        if (storeAnswers) {
            return;
        }
        storeAnswers = true;
        long now = control.nanoTime();
        // Rows of live upstreams expire only during a long outage. The time before the first answer
        // of the store is no outage, nor is a short loss of the connection.
        boolean outage =
                unansweredSinceNanos
                        .filter(since -> now - since >= MIN_OUTAGE_TO_EXPIRE_ROWS.toNanos())
                        .isPresent();
        if (outage) {
            state.upstreams().onStoreRecovered(now);
            rollOutMonitor.onStoreRecovered(now);
        }
        LOG.atInfo().addKeyValue("outage", outage).log("store answers");
    }

    /** Records that the store has not answered any call since the given time. */
    public void onStoreNotAnswering(long sinceNanos) {
        if (!storeAnswers) {
            return;
        }
        storeAnswers = false;
        unansweredSinceNanos = Optional.of(sinceNanos);
        LOG.warn("store does not answer");
    }

    /** Records that the store has come back from an older copy, which its rows show from now on. */
    public void onStoreRestored() {
        state.upstreams().onStoreRestored(control.nanoTime());
        rollOutMonitor.onStoreRestored(control.nanoTime());
        reportSchedule.requestReport();
        LOG.warn("store restored from an older copy");
    }

    /**
     * Adds an upstream, or updates it; logs if it is a new incarnation or its draining state
     * changed.
     */
    public void onUpstream(UpstreamInstance upstream) {
        Optional<UpstreamInstance> before = state.upstreams().upstream(upstream.id());
        if (!state.upstreams().put(upstream, control.nanoTime())) {
            LOG.atInfo()
                    .addKeyValue("upstream", upstream.id())
                    .addKeyValue("started_ms", upstream.incarnation().startMillis())
                    .log("old registration ignored");
            return;
        }
        boolean newIncarnation =
                before.filter(known -> known.incarnation().equals(upstream.incarnation()))
                        .isEmpty();
        if (newIncarnation || before.get().draining() != upstream.draining()) {
            state.loadAdmission().onRulesChange();
            LOG.atInfo()
                    .addKeyValue("upstream", upstream.id())
                    .addKeyValue("started_ms", upstream.incarnation().startMillis())
                    .addKeyValue("peer", upstream.address())
                    .addKeyValue("service", upstream.service())
                    .addKeyValue("release", upstream.release())
                    .addKeyValue("zone", upstream.zone())
                    .addKeyValue("leaving", upstream.draining())
                    .addKeyValue("cold_ms", upstream.coldTimeLeft().toMillis())
                    .log("upstream");
        }
    }

    /** Removes an upstream whose row is gone from the store. */
    public void onUpstreamRemoved(String id) {
        if (state.upstreams().upstream(id).isEmpty()) {
            return;
        }
        state.upstreams().remove(id, control.nanoTime());
        state.loadAdmission().onRulesChange();
        LOG.atInfo().addKeyValue("upstream", id).log("upstream gone");
    }

    /** Records that all upstreams have been read once. */
    public void onAllUpstreamsRead() {
        allUpstreamsRead = true;
        state.upstreams().onAllRead();
    }

    /** Disables an availability zone, or enables it again. */
    public void setZoneDisabled(String zone, boolean disabled) {
        state.setZoneDisabled(zone, disabled);
        state.loadAdmission().onRulesChange();
        LOG.atInfo().addKeyValue("zone", zone).addKeyValue("closed", disabled).log("zone");
    }

    /** The roll-outs, to which what the store holds of them is applied. */
    public RollOutMonitor rollOuts() {
        return rollOutMonitor;
    }

    /**
     * Applies a router's report. The own report counts only as a sign that this router is live, but
     * for what an earlier incarnation of this router knew of poison requests and of roll-outs.
     */
    public void onRouterReport(String router, RouterReport report) {
        liveRouters.recordReport(router, control.nanoTime());
        boolean own = router.equals(name);
        if (!own || heartbeat == 0) {
            state.poisonRegister().applyReport(report.poison(), control.nanoTime());
        }
        if (own) {
            if (heartbeat == 0) {
                rollOutMonitor.onOwnEarlierReport(report);
            }
            return;
        }
        peers.onReport(router, report.peerAddress());
        state.rollOuts().applyPeerEvidence(router, report.evidence());
    }

    /** The other live routers of the availability zone that take load reports. */
    List<HostAddress> zonePeers() {
        return peers.zonePeers();
    }

    /** Records that the reports of all routers have been read once. */
    public void onAllRouterReportsRead() {
        liveRouters.recordAllReportsRead(control.nanoTime());
        rollOutMonitor.onAllReportsRead();
    }

    /** Whether the router can serve requests: it has a configuration and has read the upstreams. */
    public boolean isReady() {
        return state.config().isPresent() && allUpstreamsRead;
    }

    private void runChecks() {
        long now = control.nanoTime();
        state.upstreams().removeExpired(now);
        LiveRouters live = liveRouters.expireAndReturnLive(now, storeAnswers);
        state.setLiveRouters(live);
        peers.retain(live.names());
        state.peerLoads().expire(now);
        state.loadAdmission().runChecks(peers.zonePeers().size() + 1, now);
        if (!storeAnswers) {
            return;
        }
        if (state.config().isPresent()) {
            state.rollOuts().dropOldEvidence();
        }
        rollOutMonitor.decide(now);
        publishIfDue();
    }

    private void publishIfDue() {
        // The first report replaces the one of an earlier incarnation, so that has to be read
        // before.
        if (!rollOutMonitor.isEvidenceRead()) {
            return;
        }
        PoisonRegister poison = state.poisonRegister();
        boolean due =
                reportSchedule.takeDue(
                        poison.news(),
                        rollOutMonitor.ownEvidenceOfNewReleases(),
                        rollOutMonitor.isDecisionNear(control.nanoTime()));
        if (!due) {
            return;
        }
        poison.onPublished();
        heartbeat++;
        reporters
                .routerReports()
                .publish(
                        new RouterReport(
                                heartbeat,
                                state.rollOuts().ownEvidence(),
                                poison.report(control.nanoTime()),
                                peerAddress));
    }

    private static void logCondemned(String suspect, Condemnation condemnation) {
        LOG.atWarn()
                .addKeyValue("suspect", suspect)
                .addKeyValue("crashes", condemnation.crashes())
                .addKeyValue("equally_likely", String.join(",", condemnation.equallyLikely()))
                .log("requests refused: they crash upstreams");
    }
}
