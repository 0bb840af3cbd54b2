package org.wigeonferry.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.Control;
import org.wigeonferry.routing.ReleaseEvidence;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutEvidence;
import org.wigeonferry.routing.RollOutState;
import org.wigeonferry.routing.RollOutStatus;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.UpstreamInstance;

/**
 * Takes news of the deployment into the control state, and drives what follows from them.
 *
 * <p>All methods but the constructor are called on the control thread.
 */
public final class RouterControl {
    /** Entries whose notes stand still for so long are taken as gone. */
    private static final Duration ENTRY_LIFE = Duration.ofSeconds(15);

    /** Entries to reckon with until their rows have been read. */
    public static final int ASSUMED_ROUTER_COUNT = 8;

    /** Least silence of the store in which living upstreams' entries may have lapsed. */
    private static final Duration LEAST_OUTAGE = Duration.ofMillis(2400);

    private static final Duration LOOK = Duration.ofMillis(500);

    /** Looks between notes without news. */
    private static final int CALM_LOOKS = 12;

    /** Least looks between notes with news of a roll-out. */
    private static final int BUSY_LOOKS = 2;

    private static final Logger LOG = LoggerFactory.getLogger("control");

    private final String name;
    private final Control control;
    private final RoutingState state;
    private final RouterReportPublisher notes;
    private final RollOutReporter rollOuts;
    private final LiveRouterTracker membership;
    private boolean storeAnswers;
    private Optional<Long> unansweredSinceNanos = Optional.empty();
    private boolean upstreamsKnown;
    private long beat;
    private int looks;
    private Map<String, Integer> toldSuspects = Map.of();
    private Map<String, ReleaseEvidence> toldReleases = Map.of();

    /** Connects the state of the entry of this name with those who publish for it. */
    public RouterControl(
            String name,
            Control control,
            RoutingState state,
            RouterReportPublisher notes,
            RollOutReporter rollOuts) {
        this.name = name;
        this.control = control;
        this.state = state;
        this.notes = notes;
        this.rollOuts = rollOuts;
        membership = new LiveRouterTracker(name, ENTRY_LIFE, ASSUMED_ROUTER_COUNT);
    }

    /** Begins to look at roll-outs and to publish notes. */
    public void start() {
        control.every(LOOK, this::look);
    }

    /** The state. */
    public RoutingState state() {
        return state;
    }

    /** Takes a configuration. */
    public void onConfiguration(RoutingConfig config) {
        if (state.updateConfig(config)) {
            LOG.atInfo().addKeyValue("revision", config.revision()).log("configuration in force");
        }
    }

    /** Takes a moment at which the configuration known by now was the newest. */
    public void onConfigurationConfirmed(long asOfNanos, long asOfWallMillis) {
        state.freshness().recordConfirmation(asOfNanos, asOfWallMillis);
    }

    /** Takes that the store answered. */
    public void onStoreAnswered() {
        if (storeAnswers) {
            return;
        }
        storeAnswers = true;
        long now = control.nanoTime();
        // Entries lapse in a long outage only: not at a start, nor when a connection breaks.
        boolean outage =
                unansweredSinceNanos
                        .filter(since -> now - since >= LEAST_OUTAGE.toNanos())
                        .isPresent();
        if (outage) {
            state.upstreams().onStoreRecovered(now);
        }
        LOG.atInfo().addKeyValue("outage", outage).log("store answers");
    }

    /** Takes that the store answered no call since a moment. */
    public void onStoreUnanswered(long sinceNanos) {
        if (!storeAnswers) {
            return;
        }
        storeAnswers = false;
        unansweredSinceNanos = Optional.of(sinceNanos);
        LOG.warn("store does not answer");
    }

    /** Takes an upstream's description. */
    public void onUpstream(UpstreamInstance upstream) {
        Optional<UpstreamInstance> before = state.upstreams().upstream(upstream.id());
        state.upstreams().put(upstream, control.nanoTime());
        if (before.isEmpty() || before.get().draining() != upstream.draining()) {
            LOG.atInfo()
                    .addKeyValue("upstream", upstream.id())
                    .addKeyValue("peer", upstream.address())
                    .addKeyValue("service", upstream.service())
                    .addKeyValue("release", upstream.release())
                    .addKeyValue("zone", upstream.zone())
                    .addKeyValue("leaving", upstream.draining())
                    .addKeyValue("cold_ms", upstream.coldTimeLeft().toMillis())
                    .log("upstream");
        }
    }

    /** Takes the end of an upstream's description. */
    public void onUpstreamRemoved(String id) {
        if (state.upstreams().upstream(id).isEmpty()) {
            return;
        }
        state.upstreams().remove(id, control.nanoTime());
        LOG.atInfo().addKeyValue("upstream", id).log("upstream gone");
    }

    /** Notes that all upstreams were read once. */
    public void onAllUpstreamsRead() {
        upstreamsKnown = true;
    }

    /** Opens or closes an availability zone. */
    public void setZoneDisabled(String zone, boolean closed) {
        state.setZoneDisabled(zone, closed);
        LOG.atInfo().addKeyValue("zone", zone).addKeyValue("closed", closed).log("zone");
    }

    /** Takes an order to roll out. */
    public void onRollOutOrdered(RollOut order) {
        state.rollOuts().onRollOutOrdered(order);
        LOG.atInfo()
                .addKeyValue("service", order.service())
                .addKeyValue("release", order.release())
                .addKeyValue("revision", order.revision())
                .log("roll-out ordered");
    }

    /** Takes the end of an order. */
    public void onRollOutRemoved(String service) {
        state.rollOuts().onRollOutRemoved(service);
    }

    /** Takes the state of a roll-out. */
    public void onRollOutStatus(RollOutStatus status) {
        state.rollOuts().applyStatus(status);
        LOG.atInfo()
                .addKeyValue("service", status.service())
                .addKeyValue("release", status.release())
                .addKeyValue("state", status.state())
                .log("roll-out state");
    }

    /** Takes another entry's note. */
    public void onRouterReport(String entry, RouterReport note) {
        membership.recordReport(entry, control.nanoTime());
        if (entry.equals(name)) {
            return;
        }
        state.rollOuts().applyPeerEvidence(entry, note.evidence());
        state.poisonRegister().applyPeerLossCounts(entry, note.lossCounts(), control.nanoTime());
    }

    /** Notes that all entries' notes were read once. */
    public void onAllRouterReportsRead() {
        membership.recordAllReportsRead(control.nanoTime());
    }

    /** Whether callers may be sent here. */
    public boolean isReady() {
        return state.config().isPresent() && upstreamsKnown;
    }

    private void look() {
        long now = control.nanoTime();
        state.upstreams().removeExpired(now);
        state.setLiveRouters(membership.expireAndReturnLive(now, storeAnswers));
        if (!storeAnswers) {
            return;
        }
        for (RollOut order : state.rollOuts().orders()) {
            state.rollOuts().nextState(order, now).ifPresent(next -> report(order, next));
        }
        publishIfDue();
    }

    /** The first look tells the others of this entry; later ones keep it in their minds. */
    private void publishIfDue() {
        Map<String, Integer> suspects = state.poisonRegister().ownLossCounts();
        Map<String, ReleaseEvidence> releases = unprovedReleases();
        boolean alarm =
                !suspects.equals(toldSuspects) && suspects.values().stream().anyMatch(c -> c > 1);
        boolean news = looks % BUSY_LOOKS == 0 && !releases.equals(toldReleases);
        boolean due = looks % CALM_LOOKS == 0;
        looks++;
        if (!alarm && !news && !due) {
            return;
        }
        toldSuspects = suspects;
        toldReleases = releases;
        beat++;
        notes.publish(new RouterReport(beat, state.rollOuts().ownEvidence(), suspects));
    }

    /** What this entry saw of releases that are being rolled out, by service. */
    private Map<String, ReleaseEvidence> unprovedReleases() {
        Map<String, ReleaseEvidence> seen = new HashMap<>();
        Map<String, RollOutEvidence> evidence = state.rollOuts().ownEvidence();
        for (RollOut order : state.rollOuts().orders()) {
            if (!over(order)) {
                seen.put(order.service(), evidence.get(order.service()).fresh());
            }
        }
        return seen;
    }

    /** Whether a roll-out is under way. */
    public boolean isRollOutRunning() {
        return state.rollOuts().orders().stream().anyMatch(order -> !over(order));
    }

    private boolean over(RollOut order) {
        return state.rollOuts().state(order).filter(s -> s != RollOutState.RUNNING).isPresent();
    }

    private void report(RollOut order, RollOutState next) {
        LOG.atInfo()
                .addKeyValue("service", order.service())
                .addKeyValue("release", order.release())
                .addKeyValue("state", next)
                .addKeyValue("evidence", state.rollOuts().totalEvidence(order))
                .log("roll-out decided");
        rollOuts.report(order, next, state.rollOuts().status(order.service()));
    }
}
