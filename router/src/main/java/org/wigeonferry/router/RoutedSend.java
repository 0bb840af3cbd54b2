package org.wigeonferry.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.wigeonferry.routing.Route;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;

/**
 * One send of a call and what comes back of it.
 *
 * <p>Invariant: its call hears of one end; a plain answer is passed on only when it is whole.
 * Called by one traffic thread at a time, but for {@link #cancel}.
 */
final class RoutedSend implements SendListener {
    private static final int MAX_ANSWER_BYTES = 16 << 20;

    /**
     * Parts of the latency objective for which a first answer is awaited before another is asked.
     */
    private static final double PLAIN_PATIENCE = 0.9;

    private static final double STREAM_PATIENCE = 0.5;
    private static final Duration GAP_PATIENCE = Duration.ofMillis(1800);
    private static final Duration SECOND_LOOK = Duration.ofMillis(300);

    private final CallContext context;
    private final RoutedCall call;
    private final Send send;
    private final AtomicBoolean over = new AtomicBoolean();
    private final EventScanner scanner = new EventScanner();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private volatile Optional<ResponseHead> head = Optional.empty();
    private volatile Runnable connection = () -> {};
    private volatile Optional<Throwable> failure = Optional.empty();
    private volatile long firstNanos;
    private volatile long lastNanos;

    RoutedSend(CallContext context, RoutedCall call, Send send) {
        this.context = context;
        this.call = call;
        this.send = send;
    }

    void start(UpstreamRequest order) {
        connection = context.sender().send(order, this);
        context.control().run(this::watchSilence);
        if (over.get()) {
            connection.run();
        }
    }

    /** Ends the send from our side. */
    void cancel(SendOutcome outcome) {
        finish(outcome, Optional.empty());
    }

    @Override
    public void onHeaders(int status, HttpFields fields) {
        ResponseHead known = context.protocol().responseHeadDecoder().decode(status, fields);
        head = Optional.of(known);
        long now = context.control().nanoTime();
        context.control().run(() -> context.state().onResponseHeaders(send, known.load(), now));
        if (known.isSuccess() && doubted(known)) {
            finish(SendOutcome.DOUBTED, Optional.empty());
        }
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        ResponseHead known = head.orElseThrow();
        if (over.get()) {
            return;
        }
        if (!known.isValidResponseTo(call.job().request().id())) {
            return;
        }
        noteTime();
        if (!streams(known)) {
            collect(bytes);
            return;
        }
        ByteBuffer events = scanner.append(bytes);
        if (events.hasRemaining()) {
            call.forwardEvents(this, known, scanner, events);
        }
    }

    @Override
    public void onComplete() {
        ResponseHead known = head.orElseThrow();
        if (known.misdirected()) {
            finish(SendOutcome.MISDIRECTED, Optional.empty());
        } else if (known.requestNotRun()) {
            finish(SendOutcome.NOT_RUN, Optional.empty());
        } else if (!known.isValidResponseTo(call.job().request().id())) {
            finish(SendOutcome.BROKEN, Optional.empty());
        } else if (streams(known)) {
            boolean whole = !scanner.hasIncompleteEvent() && scanner.eventCount() > 0;
            finish(whole ? SendOutcome.ANSWERED : SendOutcome.BROKEN, Optional.empty());
        } else {
            SendOutcome outcome = known.isServerError() ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            finish(outcome, Optional.of(new FullResponse(known, body.toByteArray())));
        }
    }

    @Override
    public void onFailure(boolean written, Throwable cause) {
        failure = Optional.of(cause);
        finish(written ? SendOutcome.BROKEN : SendOutcome.NOT_SENT, Optional.empty());
    }

    /** What the send came to. */
    SendReport toReport(SendOutcome outcome) {
        Optional<Duration> first =
                firstNanos == 0
                        ? Optional.empty()
                        : Optional.of(Duration.ofNanos(firstNanos - send.startNanos()));
        Optional<Duration> gap =
                scanner.eventCount() < 2
                        ? Optional.empty()
                        : Optional.of(
                                Duration.ofNanos(
                                        (lastNanos - firstNanos) / (scanner.eventCount() - 1)));
        return new SendReport(send, outcome, head.isPresent(), first, gap);
    }

    /** The head of the answer, once it came. */
    Optional<ResponseHead> responseHead() {
        return head;
    }

    /** Why the answer is not whole, if the connection says. */
    Optional<Throwable> connectionFailure() {
        return failure;
    }

    /**
     * Moves the call to another upstream if this one is silent for too long and another may help.
     */
    private void watchSilence() {
        if (over.get() || !call.job().route().kind().isRepeatable()) {
            return;
        }
        long now = context.control().nanoTime();
        long last = firstNanos == 0 ? send.startNanos() : lastNanos;
        long left = patience().toNanos() - (now - last);
        if (left > 0) {
            context.control().after(Duration.ofNanos(left), this::watchSilence);
        } else if (context.state().mayResend(call.job(), send, firstNanos != 0, now)) {
            context.trafficExecutor().execute(() -> cancel(SendOutcome.SILENT));
        } else {
            context.control().after(SECOND_LOOK, this::watchSilence);
        }
    }

    private Duration patience() {
        Route route = call.job().route();
        if (!route.kind().isStreamed()) {
            return scaled(route.latencyObjective(), PLAIN_PATIENCE);
        }
        return firstNanos == 0 ? scaled(route.latencyObjective(), STREAM_PATIENCE) : GAP_PATIENCE;
    }

    private static Duration scaled(Duration time, double factor) {
        return Duration.ofNanos((long) (time.toNanos() * factor));
    }

    private boolean streams(ResponseHead known) {
        return call.job().route().kind().isStreamed() && known.isSuccess();
    }

    private boolean doubted(ResponseHead known) {
        return known.isValidResponseTo(call.job().request().id())
                && known.confidence().filter(value -> value < send.minConfidence()).isPresent()
                && !call.isStreaming();
    }

    private void noteTime() {
        lastNanos = context.control().nanoTime();
        if (firstNanos == 0) {
            firstNanos = lastNanos;
        }
    }

    private void collect(ByteBuffer bytes) {
        if (body.size() + bytes.remaining() > MAX_ANSWER_BYTES) {
            finish(SendOutcome.BROKEN, Optional.empty());
            return;
        }
        body.write(bytes.array(), bytes.arrayOffset() + bytes.position(), bytes.remaining());
    }

    private void finish(SendOutcome outcome, Optional<FullResponse> answer) {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        connection.run();
        call.onSendEnded(this, toReport(outcome), answer);
    }
}
