package org.wigeonferry.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.router.connections.ConnectionUse;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.PlacementResult;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;
import org.wigeonferry.routing.UpstreamAnnouncement;

/**
 * Serves one request: sends it to an upstream, resends it where that is allowed (the request is
 * repeatable, or it is proved that it did not run), and responds to the caller.
 *
 * <p>Invariant: at most one send is in progress; callbacks of a send are ignored once it has been
 * superseded; the caller gets exactly one final response. No method of Jetty that may call back is
 * called while the monitor of this object is held. Thread safe.
 */
final class RoutedCall {
    private static final int GATEWAY_TIMEOUT = 504;

    private final CallContext context;
    private final Job job;
    private final CallerRequest caller;
    private final CallerResponse callerResponse;
    private final CallLog log;
    private final SendRecorder recorder;
    private final AtomicBoolean finished = new AtomicBoolean();
    private Optional<RoutedSend> currentSend = Optional.empty();
    private Optional<CompleteResponse> lastServerError = Optional.empty();
    private Optional<String> lastEventId;
    private boolean streaming;
    private Runnable cancelDeadlineTimer = () -> {};

    RoutedCall(CallContext context, Job job, CallerRequest caller, CallerResponse callerResponse) {
        this.context = context;
        this.job = job;
        this.caller = caller;
        this.callerResponse = callerResponse;
        log = new CallLog(context.metrics(), job, context.control().nanoTime());
        recorder = new SendRecorder(context, job, caller.requestDigest(), log);
        lastEventId = job.request().resumeAfter();
    }

    /** Starts the deadline timer and the first send. Called on the control thread. */
    void start() {
        context.inFlight().add(this);
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
    synchronized boolean isStreaming() {
        return streaming;
    }

    /** Forwards complete events of a stream to the caller; ignores those of a superseded send. */
    void forwardEvents(
            RoutedSend routedSend, ResponseHead head, EventScanner scanner, ByteBuffer events) {
        synchronized (this) {
            if (finished.get() || !isCurrent(routedSend)) {
                return;
            }
            if (!streaming) {
                streaming = true;
                log.recordTimeToFirstEvent();
                callerResponse.startStream(head.status(), head.forwardedFields());
            }
            lastEventId = scanner.lastId().or(() -> lastEventId);
            callerResponse.bufferEvents(events);
        }
        callerResponse.flush();
    }

    /** Records what an upstream says of itself. */
    void onAnnouncement(Send send, UpstreamAnnouncement announcement) {
        recorder.recordAnnouncement(send, announcement);
    }

    /** Records the end of a send; then responds to the caller, or resends where that is allowed. */
    void onSendEnded(
            RoutedSend routedSend, SendReport report, Optional<CompleteResponse> response) {
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
        boolean answered;
        synchronized (this) {
            if (finished.get() || !isCurrent(routedSend)) {
                return;
            }
            currentSend = Optional.empty();
            // After the first events only the rest of the stream answers the request.
            boolean restOfStream = response.isEmpty();
            answered = report.outcome() == SendOutcome.ANSWERED && (restOfStream || !streaming);
            if (answered) {
                finish();
            } else {
                response.ifPresent(serverError -> lastServerError = response);
            }
        }
        if (answered) {
            sendResponse(response);
            return;
        }
        if (job.route().kind().isRepeatable() || report.outcome().provedNotRun()) {
            context.control().execute(this::selectUpstream);
            return;
        }
        giveUp(new Refused(RefusalCause.OUTCOME_UNKNOWN));
    }

    private void sendResponse(Optional<CompleteResponse> response) {
        if (response.isPresent()) {
            CompleteResponse complete = response.get();
            log.logAnswered(complete.head().status());
            callerResponse.sendComplete(
                    complete.head().status(), complete.head().forwardedFields(), complete.body());
            return;
        }
        log.logStreamAnswered(callerResponse.streamFraming());
        callerResponse.endStream();
    }

    private void selectUpstream() {
        if (finished.get()) {
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
        }
    }

    private void startSend(Send send) {
        RoutedSend routedSend = new RoutedSend(context, this, send);
        synchronized (this) {
            if (finished.get()) {
                recorder.recordEnd(routedSend.toReport(SendOutcome.NOT_SENT), () -> {});
                return;
            }
            currentSend = Optional.of(routedSend);
        }
        log.logPlaced(send);
        HttpFields fields =
                context.protocol()
                        .upstreamHeadersEncoder()
                        .encode(caller.fields(), send, send.timeLeft(), lastEventIdIfStreaming());
        routedSend.start(
                new UpstreamRequest(
                        send.upstream().incarnation(),
                        send.upstream().address(),
                        ConnectionUse.of(
                                job.route().kind(), job.mayRunAgain(), job.wasLostOnReuse()),
                        caller.method(),
                        caller.target(),
                        fields,
                        caller.body()));
    }

    private synchronized Optional<String> lastEventIdIfStreaming() {
        return streaming ? lastEventId : Optional.empty();
    }

    private void giveUp(Refused refused) {
        RefusalCause cause = refused.cause();
        boolean streamStarted;
        Optional<CompleteResponse> serverError;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            streamStarted = streaming;
            serverError = lastServerError;
        }
        if (streamStarted) {
            abortStream(cause);
            return;
        }
        if (serverError.isPresent()) {
            sendResponse(serverError);
            return;
        }
        log.logRefused(cause);
        context.refusals().sendRefusal(callerResponse, refused);
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
        Optional<RoutedSend> openSend;
        boolean streamStarted;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            openSend = currentSend;
            streamStarted = streaming;
        }
        RefusalCause cause = openSend.isPresent() ? causeWithOpenSend : causeWithoutSend;
        openSend.ifPresent(routedSend -> routedSend.cancel(openSendOutcome));
        if (streamStarted) {
            abortStream(cause);
            return;
        }
        log.logRefused(cause);
        context.refusals().sendRefusal(callerResponse, new Refused(cause));
    }

    private void abortStream(RefusalCause cause) {
        log.logStreamAborted(cause, callerResponse.streamFraming());
        callerResponse.abort(new IOException("stream aborted: " + cause));
    }

    private void onCallerDisconnected() {
        Optional<RoutedSend> openSend;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            openSend = currentSend;
        }
        openSend.ifPresent(routedSend -> routedSend.cancel(SendOutcome.ABANDONED));
        log.logCallerDisconnected();
        callerResponse.abort(new IOException("caller disconnected"));
    }

    private boolean isCurrent(RoutedSend routedSend) {
        return currentSend.isPresent() && currentSend.get() == routedSend;
    }

    private boolean finish() {
        if (!finished.compareAndSet(false, true)) {
            return false;
        }
        cancelDeadlineTimer.run();
        caller.clearDisconnectAction();
        context.inFlight().remove(this);
        return true;
    }
}
