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
    private final CallerReply reply;
    private final CallLog log;
    private final AtomicBoolean over = new AtomicBoolean();
    private Optional<RoutedSend> current = Optional.empty();
    private Optional<WholeAnswer> failure = Optional.empty();
    private Optional<String> lastEvent;
    private boolean streaming;
    private Runnable deadline = () -> {};

    RoutedCall(CallContext context, Job job, CallerRequest caller, CallerReply reply) {
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
        caller.onDeparture(this::left);
        place();
    }

    /** The job. */
    Job job() {
        return job;
    }

    /** Whether the caller has events already. */
    synchronized boolean streaming() {
        return streaming;
    }

    /** Takes whole events of a stream. */
    synchronized void events(
            RoutedSend send, AnswerHead head, EventScanner scanner, ByteBuffer events) {
        if (over.get() || !isCurrent(send)) {
            return;
        }
        if (!streaming) {
            streaming = true;
            log.firstAnswer();
            reply.start(head.status(), head.passedOn());
        }
        lastEvent = scanner.lastId().or(() -> lastEvent);
        reply.events(events);
    }

    /** Takes the end of a send. */
    void ended(RoutedSend send, SendReport report, Optional<WholeAnswer> answer) {
        log.sent(report, send.answerHead(), send.failure());
        context.control()
                .run(
                        () -> {
                            boolean condemned =
                                    context.state()
                                            .onSendEnd(
                                                    job,
                                                    caller.content(),
                                                    report,
                                                    context.control().nanoTime());
                            if (condemned) {
                                log.condemned();
                            }
                            context.traffic().execute(() -> goOn(send, report, answer));
                        });
    }

    private void goOn(RoutedSend send, SendReport report, Optional<WholeAnswer> answer) {
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

    private void deliver(Optional<WholeAnswer> answer) {
        if (answer.isPresent()) {
            WholeAnswer whole = answer.get();
            log.answered(whole.head().status());
            reply.whole(whole.head().status(), whole.head().passedOn(), whole.body());
            return;
        }
        log.answered(200);
        reply.end();
    }

    private void place() {
        if (over.get()) {
            return;
        }
        long now = context.control().nanoTime();
        PlacementResult placement =
                context.state().place(job, caller.content(), now, System.currentTimeMillis());
        if (placement instanceof Send send) {
            context.traffic().execute(() -> send(send));
        } else if (placement instanceof Refused refused) {
            context.traffic().execute(() -> giveUp(refused.cause()));
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
        log.placed(send);
        HttpFields fields =
                context.protocol()
                        .sends()
                        .encode(caller.fields(), send, send.timeLeft(), resumeHeader());
        next.start(
                new SendOrder(
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
        SendReport report = send.report(SendOutcome.NOT_SENT);
        context.control()
                .run(
                        () ->
                                context.state()
                                        .onSendEnd(
                                                job,
                                                caller.content(),
                                                report,
                                                context.control().nanoTime()));
    }

    private void giveUp(RefusalCause cause) {
        boolean started;
        Optional<WholeAnswer> instead;
        synchronized (this) {
            if (!finish()) {
                return;
            }
            started = streaming;
            instead = failure;
        }
        if (started) {
            log.brokenOff(cause);
            reply.breakOff(new IOException("stream can't go on: " + cause));
            return;
        }
        if (instead.isPresent()) {
            deliver(instead);
            return;
        }
        log.refused(cause);
        context.refusals().answer(reply, cause);
    }

    private void timeIsOver() {
        RefusalCause cause =
                job.possibleRuns() > 0 ? RefusalCause.TIMED_OUT : RefusalCause.TOO_LATE;
        context.traffic().execute(() -> timedOut(cause));
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
            log.brokenOff(RefusalCause.TIMED_OUT);
            reply.breakOff(new IOException("time is over"));
            return;
        }
        log.refused(cause);
        context.refusals().answer(reply, cause);
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
        log.left();
        reply.breakOff(new IOException("caller left"));
    }

    private boolean isCurrent(RoutedSend send) {
        return current.isPresent() && current.get() == send;
    }

    private boolean finish() {
        if (!over.compareAndSet(false, true)) {
            return false;
        }
        deadline.run();
        caller.forgetDeparture();
        context.inFlight().decrementAndGet();
        return true;
    }
}
