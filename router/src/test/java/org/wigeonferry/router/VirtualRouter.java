package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.wigeonferry.routing.AdmissionResult;
import org.wigeonferry.routing.Admitted;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.RollOut;
import org.wigeonferry.routing.RollOutStart;
import org.wigeonferry.routing.RollOutStatus;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.TrafficMove;
import org.wigeonferry.routing.UpstreamInstance;
import org.wigeonferry.stand_ins.VirtualControl;

/**
 * One life of a router of a {@link RollOutFleet}.
 *
 * <p>Not thread safe.
 */
final class VirtualRouter {
    private static final Duration REPORT_POLL_INTERVAL = Duration.ofSeconds(2);
    private static final Duration ANSWER_TIME = Duration.ofMillis(200);

    private final String name;
    private final RollOutFleet fleet;
    private final VirtualControl control;
    private final RouterControl router;
    private int requests;

    VirtualRouter(String name, RollOutFleet fleet) {
        this.name = name;
        this.fleet = fleet;
        control = new VirtualControl(fleet.time());
        router =
                new RouterControl(
                        name,
                        control,
                        RoutingStates.empty(),
                        Optional.empty(),
                        fleet.reporters(name));
        router.start();
    }

    void kill() {
        control.kill();
    }

    RouterControl router() {
        return router;
    }

    void readConfiguration(RoutingConfig config, List<UpstreamInstance> upstreams) {
        router.onStoreAnswered();
        router.onConfiguration(config);
        readUpstreams(upstreams);
        router.onAllUpstreamsRead();
    }

    void readUpstreams(List<UpstreamInstance> upstreams) {
        upstreams.forEach(router::onUpstream);
    }

    void readOrder(RollOut order) {
        router.rollOuts()
                .onOrdered(
                        new RollOut(
                                order.service(),
                                order.release(),
                                order.duration(),
                                order.revision(),
                                control.nanoTime()));
    }

    void readStatus(RollOutStatus status) {
        router.rollOuts().onStatus(status);
    }

    void readStart(RollOutStart start) {
        router.rollOuts().onStart(start, control.nanoTime());
    }

    void onAllStatusesRead() {
        router.rollOuts().onAllStatusesRead();
    }

    void readMove(TrafficMove move) {
        router.rollOuts().onTrafficMove(move);
    }

    /** Reads the reports of all routers now and from time to time. */
    void pollReports(Supplier<Map<String, RouterReport>> reports) {
        control.schedule(Duration.ofMillis(100), () -> readReports(reports.get()));
        control.scheduleWithFixedDelay(REPORT_POLL_INTERVAL, () -> readReports(reports.get()));
    }

    private void readReports(Map<String, RouterReport> reports) {
        reports.forEach(router::onRouterReport);
        router.onAllRouterReportsRead();
    }

    /** Sends requests at a constant rate. */
    void sendRequests(Duration interval) {
        control.scheduleWithFixedDelay(interval, this::sendRequest);
    }

    private void sendRequest() {
        if (fleet.requestsStopped()) {
            return;
        }
        long nowNanos = control.nanoTime();
        long wallMillis = nowNanos / 1_000_000;
        router.onConfigurationConfirmed(nowNanos, wallMillis);
        requests++;
        RoutedRequest request = request(name + '-' + nowNanos + '-' + requests);
        AdmissionResult admission = router.state().admit(request, nowNanos, wallMillis);
        Job job = ((Admitted) admission).job();
        if (router.state().routeJob(job, "", nowNanos, wallMillis) instanceof Send send) {
            String release = send.upstream().release();
            fleet.onSend(release);
            boolean fails = fleet.nextAnswerFails(release);
            control.schedule(ANSWER_TIME, () -> endSend(job, send, fails));
        }
    }

    private void endSend(Job job, Send send, boolean fails) {
        if (fails) {
            fleet.onBadAnswer();
        }
        SendOutcome outcome = fails ? SendOutcome.FAILED : SendOutcome.ANSWERED;
        SendReport report =
                new SendReport(send, outcome, true, Optional.of(ANSWER_TIME), Optional.empty());
        router.state().onSendEnd(job, "", report, control.nanoTime());
    }

    private static RoutedRequest request(String id) {
        return new RoutedRequest(
                id,
                "example",
                "/" + RollOutFleet.SERVICE + "/x",
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                List.of(),
                0,
                0,
                Optional.empty());
    }
}
