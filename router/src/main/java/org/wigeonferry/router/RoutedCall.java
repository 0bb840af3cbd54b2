package org.wigeonferry.router;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.routing.Job;
import org.wigeonferry.routing.PlacementResult;
import org.wigeonferry.routing.RefusalCause;
import org.wigeonferry.routing.Refused;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;

/**
 * Serves one request: sends it, sends it again where that is allowed, and answers the caller.
 *
 * <p>Invariant: one send is under way at most; a send's late news are ignored once the next began;
 * the caller gets one final answer. Thread safe.
 */
final class RoutedCall {
    private static final int GATEWAY_TIMEOUT = 504;

    private final CallContext context;
    private final Job job;
    private final CallerRequest caller;
    private final CallerResponse reply;
    private final CallLog log;
    private final AtomicBoolean over = new AtomicBoolean();
    private Optional<RoutedSend> current = Optional.empty();
    private Optional<FullResponse> failure = Optional.empty();
    private Optional<String> lastEvent;
    private boolean streaming;
    private Runnable deadline = () -> {};

    RoutedCall(CallContext context, Job job, CallerRequest caller, CallerResponse reply) {
        this.context = context;
        this.job = job;
        this.caller = caller;
        this.reply = reply;
        log = new CallLog(context.metrics(), job, context.control().nanoTime());
        lastEvent = job.request().resumeAfter();
    }

    /** Starts; called on the control thread. */
    void start() {
        long left = job.deadlineNanos() - context.control().nanoTime();
        deadline = context.control().after(Duration.ofNanos(Math.max(0, left)), this::timeIsOver);
        caller.onDisconnect(this::left);
        place();
    }

    /** The job. */
    Job job() {
        return job;
    }

    /** Whether the caller has events already. */
    synchronized boolean isStreaming() {
        return streaming;
    }

    /** Takes whole events of a stream. */
    synchronized void forwardEvents(
            RoutedSend send, ResponseHead head, EventScanner scanner, ByteBuffer events) {
        if (over.get() || !isCurrent(send)) {
            return;
        }
        if (!streaming) {
            streaming = true;
            log.recordTimeToFirstEvent();
            reply.startStream(head.status(), head.forwardedFields());
        }
        lastEvent = scanner.lastId().or(() -> lastEvent);
        reply.writeEvents(events);
    }

    /** Takes the end of a send. */
    void onSendEnded(RoutedSend send, SendReport report, Optional<FullResponse> answer) {
        log.logSendEnded(report, send.responseHead(), send.connectionFailure());
        context.control()
                .run(
                        () -> {
                            boolean condemned =
                                    context.state()
                                            .onSendEnd(
                                                    job,
                                                    caller.requestDigest(),
                                                    report,
                                                    context.control().nanoTime());
                            if (condemned) {
                                log.logPoisonDetected();
                            }
                            context.trafficExecutor().execute(() -> goOn(send, report, answer));
                        });
    }

    private void goOn(RoutedSend send, SendReport report, Optional<FullResponse> answer) {
        synchronized (this) {
            if (over.get() || !isCurrent(send)) {
                return;
            }
            current = Optional.empty();
            if (report.outcome() == SendOutcome.ANSWERED) {
                finish();
                deliver(answer);
                return;
            }
            answer.ifPresent(whole -> failure = answer);
        }
        if (job.route().kind().isRepeatable() || report.outcome().provedNotRun()) {
            context.control().run(this::place);
            return;
        }
        giveUp(RefusalCause.OUTCOME_UNKNOWN);
    }

    private void deliver(Optional<FullResponse> answer) {
        if (answer.isPresent()) {
            FullResponse whole = answer.get();
            log.logAnswered(whole.head().status());
            reply.sendFull(whole.head().status(), whole.head().forwardedFields(), whole.body());
            return;
        }
        log.logAnswered(200);
        reply.endStream();
    }

    private void place() {
        if (over.get()) {
            return;
        }
        long now = context.control().nanoTime();
        PlacementResult placement =
                context.state().place(job, caller.requestDigest(), now, System.currentTimeMillis());
        if (placement instanceof Send send) {
            context.trafficExecutor().execute(() -> send(send));
        } else if (placement instanceof Refused refused) {
            context.trafficExecutor().execute(() -> giveUp(refused.cause()));
        }
    }

    private void send(Send send) {
        RoutedSend next = new RoutedSend(context, this, send);
        synchronized (this) {
            if (over.get()) {
                abandonUnsent(next);
                return;
            }
            current = Optional.of(next);
        }
        log.logPlaced(send);
        HttpFields fields =
                context.protocol()
                        .upstreamHeadersEncoder()
                        .encode(caller.fields(), send, send.timeLeft(), resumeHeader());
        next.start(
                new UpstreamRequest(
                        send.upstream().address(),
                        caller.method(),
                        caller.target(),
                        fields,
                        caller.body()));
    }

    private synchronized Optional<String> resumeHeader() {
        return streaming ? lastEvent : Optional.empty();
    }

    private void abandonUnsent(RoutedSend send) {
        SendReport report = send.toReport(SendOutcome.NOT_SENT);
        context.control()
                .run(
                        () ->
                                context.state()
                                        .onSendEnd(
                                                job,
                                                caller.requestDigest(),
                                                report,
                                                context.control().nanoTime()));
    }

    private void giveUp(RefusalCause cause) {
        boolean started;
        Optional<FullResponse> instead;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            started = streaming;
            instead = failure;
        }
        if (started) {
            log.logStreamAborted(cause);
            reply.abort(new IOException("stream can't go on: " + cause));
            return;
        }
        if (instead.isPresent()) {
            deliver(instead);
            return;
        }
        log.logRefused(cause);
        context.refusals().sendRefusal(reply, cause);
    }

    private void timeIsOver() {
        RefusalCause cause =
                job.possibleRuns() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE;
        context.trafficExecutor().execute(() -> timedOut(cause));
    }

    private void timedOut(RefusalCause cause) {
        Optional<RoutedSend> open;
        boolean started;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            open = current;
            started = streaming;
        }
        open.ifPresent(send -> send.cancel(SendOutcome.SILENT));
        if (started) {
            log.logStreamAborted(RefusalCause.TIMED_OUT);
            reply.abort(new IOException("time is over"));
            return;
        }
        log.logRefused(cause);
        context.refusals().sendRefusal(reply, cause);
    }

    private void left() {
        Optional<RoutedSend> open;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            open = current;
        }
        open.ifPresent(send -> send.cancel(SendOutcome.ABANDONED));
        log.logCallerDisconnected();
        reply.abort(new IOException("caller left"));
    }

    private boolean isCurrent(RoutedSend send) {
        return current.isPresent() && current.get() == send;
    }

    private boolean finish() {
        if (!over.compareAndSet(false, true)) {
            return false;
        }
        deadline.run();
        caller.clearDisconnectAction();
        context.inFlight().decrementAndGet();
        return true;
    }
}
