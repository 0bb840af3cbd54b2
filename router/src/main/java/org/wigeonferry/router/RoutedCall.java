package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.PlacementResult;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.UpstreamAnnouncement;
import org.wigeonferry.routing.Waiting;

/**
 * Serves one request: sends it to an upstream, resends it where that is allowed (the request is
 * repeatable, or it is proved that it did not run), and responds to the caller.
 *
 * <p>Invariant: callbacks of a send are ignored once it has been superseded; the caller gets
 * exactly one final response. Thread safe.
 */
final class RoutedCall {
    private static final int GATEWAY_TIMEOUT = 504;

    private final CallContext context;
    private final Job job;
    private final CallerRequest caller;
    private final CallerResponse callerResponse;
    private final CallLog log;
    private final SendRecorder recorder;
    private final FinalResponse finalResponse;
    private final CallSends sends;
    private final HedgedSendPlanner hedgedSends;
    private volatile Runnable cancelDeadlineTimer = () -> {};

    RoutedCall(CallContext context, Job job, CallerRequest caller, CallerResponse callerResponse) {
        this.context = context;
        this.job = job;
        this.caller = caller;
        this.callerResponse = callerResponse;
        log = new CallLog(context.metrics(), job, context.control().nanoTime());
        recorder = new SendRecorder(context, job, caller.requestDigest(), log);
        finalResponse = new FinalResponse(callerResponse, context.refusals(), log);
        sends = new CallSends(job.request().resumeAfter());
        hedgedSends =
                new HedgedSendPlanner(
                        context, job, caller.requestDigest(), sends, log, this::startHedge);
    }

    /** Starts the deadline timer and the first send. Called on the control thread. */
    void start() {
        context.inFlight().add(this);
        job.recordBodyBytes(caller.body().length);
        long timeLeftNanos = job.deadlineNanos() - context.control().nanoTime();
        cancelDeadlineTimer =
                context.control()
                        .schedule(Duration.ofNanos(Math.max(0, timeLeftNanos)), this::onDeadline);
        caller.onDisconnect(this::onCallerDisconnected);
        selectUpstream();
    }

    /** The admitted request with the state of its sends. */
    Job job() {
        return job;
    }

    /** Whether events have been sent to the caller. */
    boolean isStreaming() {
        return sends.isStreaming();
    }

    /** Forwards complete events of a stream to the caller; ignores those of a superseded send. */
    void forwardEvents(
            RoutedSend routedSend, ResponseHead head, EventScanner scanner, ByteBuffer events) {
        Optional<Claim> claim =
                sends.tryBufferEvents(
                        routedSend,
                        scanner.lastId(),
                        events,
                        callerResponse,
                        () -> startStream(head));
        if (claim.isPresent()) {
            settle(claim.get());
            callerResponse.flush();
        }
    }

    private void startStream(ResponseHead head) {
        log.recordTimeToFirstEvent();
        callerResponse.startStream(head.status(), head.forwardedFields());
    }

    /**
     * Makes a send whose answer has low confidence the one that decides how the call goes on; false
     * if another one does already.
     */
    boolean tryDropAnswer(RoutedSend routedSend) {
        Optional<Claim> claim = sends.tryClaim(routedSend);
        claim.ifPresent(RoutedCall::cancelSuperseded);
        return claim.isPresent();
    }

    /** Decides whether a send that waits for its response is hedged; on the control thread. */
    void considerHedging(RoutedSend routedSend) {
        hedgedSends.consider(routedSend);
    }

    private void settle(Claim claim) {
        cancelSuperseded(claim);
        if (claim.hedgeWon()) {
            log.recordHedgeWon();
        }
    }

    private static void cancelSuperseded(Claim claim) {
        claim.superseded().forEach(other -> other.cancel(SendOutcome.SUPERSEDED));
    }

    /** Runs the action once the caller has got the response, or is gone. */
    void onResponseWritten(Runnable action) {
        callerResponse.onEnd(action);
    }

    /** Records what an upstream says of itself. */
    void onAnnouncement(Send send, UpstreamAnnouncement announcement) {
        recorder.recordAnnouncement(send, announcement);
    }

    /** Records the end of a send; then responds to the caller, or resends where that is allowed. */
    void onSendEnded(
            RoutedSend routedSend, SendReport report, Optional<CompleteResponse> response) {
        if (report.outcome() == SendOutcome.ANSWERED) {
            sends.tryClaim(routedSend).ifPresent(this::settle);
        }
        log.logSendEnded(
                report,
                routedSend.responseHead(),
                routedSend.responseFraming(),
                routedSend.connectionFailure());
        recorder.recordEnd(
                report,
                () ->
                        context.trafficExecutor()
                                .execute(() -> resendOrFinish(routedSend, report, response)));
    }

    private void resendOrFinish(
            RoutedSend routedSend, SendReport report, Optional<CompleteResponse> response) {
        NextStep next = sends.onEnded(routedSend, report.outcome(), response);
        if (next == NextStep.NONE) {
            return;
        }
        if (next == NextStep.RESPOND) {
            releaseResources();
            finalResponse.send(response);
            return;
        }
        if (job.route().kind().isRepeatable() || report.outcome().provedNotRun()) {
            context.control().execute(this::selectUpstream);
            return;
        }
        giveUp(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    private void selectUpstream() {
        if (!sends.needsSend()) {
            return;
        }
        long now = context.control().nanoTime();
        PlacementResult placement =
                context.state()
                        .routeJob(job, caller.requestDigest(), now, System.currentTimeMillis());
        if (placement instanceof Send send) {
            context.trafficExecutor().execute(() -> startSend(send));
        } else if (placement instanceof Refused refused) {
            context.trafficExecutor().execute(() -> giveUp(refused));
        } else if (placement instanceof Waiting waiting) {
            context.waitingCalls().await(job, waiting, this::selectUpstream);
        }
    }

    private void startSend(Send send) {
        RoutedSend routedSend = new RoutedSend(context, this, send);
        if (!sends.tryOpen(routedSend)) {
            recorder.recordEnd(routedSend.toReport(SendOutcome.NOT_SENT), () -> {});
            return;
        }
        run(routedSend);
    }

    /** Starts a second send beside one that waits. Called on the control thread. */
    private void startHedge(RoutedSend first, Send send) {
        log.logHedged(first.send(), send);
        RoutedSend hedge = new RoutedSend(context, this, send);
        boolean opened = sends.tryOpenHedge(hedge);
        context.trafficExecutor()
                .execute(
                        () -> {
                            if (opened) {
                                run(hedge);
                            } else {
                                hedge.cancel(SendOutcome.SUPERSEDED);
                            }
                        });
    }

    private void run(RoutedSend routedSend) {
        Send send = routedSend.send();
        log.logPlaced(send);
        routedSend.start(
                UpstreamRequests.of(
                        context.protocol(), job, caller, send, sends.lastEventIdIfStreaming()));
    }

    private void giveUp(Refused refused) {
        Optional<CallEnd> end = finish();
        if (end.isEmpty()) {
            return;
        }
        Optional<CompleteResponse> serverError = end.get().lastServerError();
        if (serverError.isPresent() && !end.get().streaming()) {
            finalResponse.send(serverError);
            return;
        }
        finalResponse.refuse(refused, end.get().streaming());
    }

    private void onDeadline() {
        RefusalCause cause =
                job.possibleRuns() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE;
        context.trafficExecutor()
                .execute(() -> end(cause, RefusalCause.TIMED_OUT, SendOutcome.SILENT));
    }

    /** Responds now, as the process is about to stop. Called on the control thread. */
    void endBeforeStop() {
        RefusalCause cause =
                job.possibleRuns() > 0 ? RefusalCause.OUTCOME_UNKNOWN : RefusalCause.STOPPING;
        context.trafficExecutor()
                .execute(() -> end(cause, RefusalCause.OUTCOME_UNKNOWN, SendOutcome.ABANDONED));
    }

    /**
     * Ends the call.
     *
     * @param causeWithOpenSend replaces {@code causeWithoutSend} if a send has started since that
     *     was determined
     */
    private void end(
            RefusalCause causeWithoutSend,
            RefusalCause causeWithOpenSend,
            SendOutcome openSendOutcome) {
        Optional<CallEnd> end = finish();
        if (end.isEmpty()) {
            return;
        }
        List<RoutedSend> openSends = end.get().openSends();
        RefusalCause cause = openSends.isEmpty() ? causeWithoutSend : causeWithOpenSend;
        openSends.forEach(routedSend -> routedSend.cancel(openSendOutcome));
        finalResponse.refuse(new Refused(cause), end.get().streaming());
    }

    private void onCallerDisconnected() {
        Optional<CallEnd> end = finish();
        if (end.isEmpty()) {
            return;
        }
        end.get().openSends().forEach(routedSend -> routedSend.cancel(SendOutcome.ABANDONED));
        finalResponse.abandon();
    }

    private Optional<CallEnd> finish() {
        Optional<CallEnd> end = sends.finish();
        if (end.isPresent()) {
            releaseResources();
        }
        return end;
    }

    private void releaseResources() {
        cancelDeadlineTimer.run();
        caller.clearDisconnectAction();
        context.inFlight().remove(this);
        context.waitingCalls().leave(job);
    }
}
