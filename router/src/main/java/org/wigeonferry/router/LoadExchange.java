package org.wigeonferry.router;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.messages.CodecException;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.routing.AgedLoad;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.OwnLoad;
import org.wigeonferry.routing.PromptPart;
import org.wigeonferry.routing.RoutingState;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SentPrompt;

/**
 * Tells the other routers of the availability zone what this one has under way, which prompts it
 * sent where, which upstreams it has lost, as they may start again before others notice, and what
 * loads upstreams reported to it.
 *
 * <p>Only routers of one zone exchange reports, since requests mostly stay in their zone and
 * traffic between zones is expensive. Owned by the control thread.
 */
public final class LoadExchange {
    private static final Logger LOG = LoggerFactory.getLogger("peers");

    private static final Duration REPORT_INTERVAL = Duration.ofMillis(200);

    /**
     * Reports of an unchanged load are sent less often, but before the last one expires; those of
     * no load only where routers divide the room at upstreams, to show that this one is reached.
     */
    private static final int INTERVALS_PER_UNCHANGED_REPORT = 3;

    /**
     * Weighted prompt tokens of a send that is reported at once, so that no other router sends a
     * prompt to the same upstream in the meantime; where routers divide the room at upstreams, also
     * the tokens that a send takes there.
     */
    private static final int LARGE_SEND_TOKENS = 500;

    /**
     * Delay of the report of a pace that has changed much, so that the changes of several upstreams
     * go into one datagram; short against slow periods of 600 ms.
     */
    private static final Duration PACE_CHANGE_DELAY = Duration.ofMillis(20);

    /** Prompts beyond are left out. */
    private static final int MAX_PROMPTS_PER_REPORT = 32;

    private static final long SEQUENCES_PER_MILLI = 1000;

    private final String name;
    private final ControlExecutor control;
    private final RoutingState state;
    private final Supplier<List<HostAddress>> peers;
    private final DatagramSender sender;
    private long sequence;
    private List<OwnLoad> lastLoads = List.of();
    private int intervalsSinceReport;
    private boolean reportScheduled;
    private final List<SentPrompt> sentPrompts = new ArrayList<>();

    /**
     * Creates an exchange that sends nothing yet.
     *
     * @param wallMillis the time of day, with which sequences rise over restarts
     * @param peers the live routers of the zone, this one left out; asked on the control thread
     */
    LoadExchange(
            String name,
            ControlExecutor control,
            RoutingState state,
            long wallMillis,
            Supplier<List<HostAddress>> peers,
            DatagramSender sender) {
        this.name = name;
        this.control = control;
        this.state = state;
        this.peers = peers;
        this.sender = sender;
        sequence = wallMillis * SEQUENCES_PER_MILLI;
    }

    /** Starts to exchange reports with the routers of the zone that the control state knows. */
    public static void start(
            String name,
            ControlExecutor control,
            RouterControl router,
            DatagramSocketPair sockets) {
        LoadExchange exchange =
                new LoadExchange(
                        name,
                        control,
                        router.state(),
                        System.currentTimeMillis(),
                        router::zonePeers,
                        sockets);
        sockets.receive(exchange::onDatagram);
        exchange.start();
    }

    /** Starts the periodic reports. */
    void start() {
        state.setSendListener(this::onSend);
        state.receivedLoads().setChangeListener(() -> scheduleReport(PACE_CHANGE_DELAY));
        control.scheduleWithFixedDelay(REPORT_INTERVAL, this::reportIfDue);
    }

    private void onSend(Job job, Send send) {
        List<PromptPart> parts = job.request().parts();
        if (!parts.isEmpty() && sentPrompts.size() < MAX_PROMPTS_PER_REPORT) {
            send.model().ifPresent(model -> sentPrompts.add(SentPrompt.of(send, model, parts)));
        }
        boolean takesRoom =
                state.loadAdmission().isEnabled() && send.heldTokens() >= LARGE_SEND_TOKENS;
        if (takesRoom || send.weightedUncachedTokens() >= LARGE_SEND_TOKENS) {
            scheduleReport(Duration.ZERO);
        }
    }

    private void scheduleReport(Duration delay) {
        if (!reportScheduled) {
            reportScheduled = true;
            control.schedule(delay, this::reportIfDue);
        }
    }

    /** Takes a datagram; called on any thread. */
    void onDatagram(byte[] datagram) {
        try {
            LoadReport report = LoadReportMessages.decode(datagram);
            control.execute(() -> apply(report));
        } catch (CodecException | RejectedExecutionException e) {
            // The next report replaces one that is dropped while the control thread is busy.
            LOG.atDebug().addKeyValue("cause", e.toString()).log("load report dropped");
        }
    }

    private void apply(LoadReport report) {
        state.peerLoads()
                .apply(report.router(), report.sequence(), report.loads(), control.nanoTime());
        report.prompts().forEach(state.upstreams()::recordPeerPrompt);
        state.upstreams().recordForwardedLoads(report.forwardedLoads(), control.nanoTime());
        report.lostUpstreams()
                .forEach(key -> state.upstreams().recordPeerLoss(key, control.nanoTime()));
        state.loadAdmission().onRoomChange();
    }

    private void reportIfDue() {
        reportScheduled = false;
        List<OwnLoad> loads = state.ownLoads();
        List<Integer> lostUpstreams = state.upstreams().takeLostUpstreams();
        List<AgedLoad> forwardedLoads = state.receivedLoads().take(control.nanoTime());
        intervalsSinceReport++;
        boolean due =
                !loads.equals(lastLoads)
                        || !sentPrompts.isEmpty()
                        || !lostUpstreams.isEmpty()
                        || !forwardedLoads.isEmpty()
                        || ((!loads.isEmpty() || state.loadAdmission().isEnabled())
                                && intervalsSinceReport >= INTERVALS_PER_UNCHANGED_REPORT);
        List<HostAddress> receivers = peers.get();
        if (!due || receivers.isEmpty()) {
            sentPrompts.clear();
            return;
        }
        sequence++;
        lastLoads = loads;
        intervalsSinceReport = 0;
        try {
            byte[] datagram = encodeWhatFits(loads, lostUpstreams, forwardedLoads);
            receivers.forEach(peer -> sender.send(peer, datagram));
        } catch (CodecException e) {
            LOG.atWarn().addKeyValue("cause", e.toString()).log("load report can't be written");
        } finally {
            sentPrompts.clear();
        }
    }

    /** Leaves the prompts out if they don't fit: a caller may send any number of long parts. */
    private byte[] encodeWhatFits(
            List<OwnLoad> loads, List<Integer> lostUpstreams, List<AgedLoad> forwardedLoads)
            throws CodecException {
        LoadReport report =
                new LoadReport(name, sequence, loads, sentPrompts, lostUpstreams, forwardedLoads);
        byte[] datagram = LoadReportMessages.encode(report);
        return datagram.length <= DatagramSocketPair.MAX_DATAGRAM_BYTES
                ? datagram
                : LoadReportMessages.encode(report.withoutPrompts());
    }
}
