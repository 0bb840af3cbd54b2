package org.wigeonferry.router;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.LoadAdmission;
import org.wigeonferry.routing.Waiting;

/**
 * Connects calls that wait for room at an upstream with the queue of {@link LoadAdmission}: routes
 * them again, in the order of the queue, when there may be room, when they may have to be refused,
 * and when it is too late for them.
 *
 * <p>Invariant: a call is in the queue if and only if it is here, but for the time that a task
 * takes to reach the control thread. All methods but {@link #leave} are called on the control
 * thread.
 */
final class WaitingCalls {
    private static final Logger LOG = LoggerFactory.getLogger("call");

    /** After this time, room that was kept for sends of other routers is free again. */
    private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(250);

    private final ControlExecutor control;
    private final LoadAdmission admission;
    private final NodeMetrics metrics;

    /** Read by the threads that end calls and read metrics. */
    private final Map<Job, WaitingCall> calls = new ConcurrentHashMap<>();

    private boolean dispatchScheduled;

    /** Whether the job that is routed at present has to go on waiting; set by {@link #await}. */
    private boolean stillWaiting;

    /** Listens to the queue, which must have been enabled before if it is used at all. */
    WaitingCalls(ControlExecutor control, LoadAdmission admission, NodeMetrics metrics) {
        this.control = control;
        this.admission = admission;
        this.metrics = metrics;
        admission.setListeners(
                this::dispatch, this::routeAllAgain, job -> control.execute(() -> routeAgain(job)));
        metrics.registerGauge("waiting_requests", calls::size);
        metrics.registerGauge("waiting_oldest_millis", this::oldestMillis);
    }

    /** Lets a call wait until its job is routed to an upstream or refused. */
    void await(Job job, Waiting waiting, Runnable placeAgain) {
        stillWaiting = true;
        if (calls.containsKey(job)) {
            return;
        }
        Runnable cancelTimer = control.schedule(waiting.timeLeft(), () -> routeAgain(job));
        calls.put(job, new WaitingCall(placeAgain, control.nanoTime(), cancelTimer));
        LOG.atInfo()
                .addKeyValue("request", job.request().id())
                .addKeyValue("route", job.route().name())
                .addKeyValue("service", job.service())
                .addKeyValue("expected_ms", waiting.expectedWait().toMillis())
                .addKeyValue("left_ms", waiting.timeLeft().toMillis())
                .addKeyValue("waiting", calls.size())
                .log("waiting");
        // It may fit although others do not, or be the first by its rank or account.
        control.execute(this::dispatch);
    }

    /** Removes a call that has ended; does nothing if it does not wait. Called on any thread. */
    void leave(Job job) {
        if (calls.containsKey(job)) {
            control.execute(() -> end(job, "left"));
        }
    }

    private void dispatch() {
        if (calls.isEmpty()) {
            return;
        }
        admission.dispatch(this::routeAgain);
        if (!calls.isEmpty() && !dispatchScheduled) {
            dispatchScheduled = true;
            control.schedule(DISPATCH_INTERVAL, this::onDispatchTimer);
        }
    }

    private void onDispatchTimer() {
        dispatchScheduled = false;
        dispatch();
    }

    private void routeAllAgain() {
        admission.waitingJobs().forEach(this::routeAgain);
    }

    /** Routes a job again; true if it need not wait any longer. */
    private boolean routeAgain(Job job) {
        WaitingCall call = calls.get(job);
        if (call == null) {
            return true;
        }
        int runsBefore = job.possibleRuns();
        stillWaiting = false;
        call.placeAgain().run();
        if (stillWaiting) {
            return false;
        }
        end(job, job.possibleRuns() > runsBefore ? "placed" : "refused");
        return true;
    }

    private void end(Job job, String result) {
        admission.remove(job);
        WaitingCall call = calls.remove(job);
        if (call == null) {
            return;
        }
        call.cancelTimer().run();
        Duration waited = Duration.ofNanos(control.nanoTime() - call.sinceNanos());
        double share = admission.shareOfAccount(job);
        String account = job.account().map(a -> a.name()).orElse("");
        metrics.recordDuration("waited_" + result, "service", job.service(), waited);
        metrics.recordValue("share_percent", "account", account, Math.round(100 * share));
        LOG.atInfo()
                .addKeyValue("request", job.request().id())
                .addKeyValue("route", job.route().name())
                .addKeyValue("service", job.service())
                .addKeyValue("result", result)
                .addKeyValue("waited_ms", waited.toMillis())
                .addKeyValue("share_percent", Math.round(100 * share))
                .log("wait ended");
    }

    private long oldestMillis() {
        long now = control.nanoTime();
        return calls.values().stream()
                .mapToLong(call -> (now - call.sinceNanos()) / 1_000_000)
                .max()
                .orElse(0);
    }
}
