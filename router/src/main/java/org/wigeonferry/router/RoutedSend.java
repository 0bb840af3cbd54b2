package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.wigeonferry.routing.Send;
import org.wigeonferry.routing.SendOutcome;
import org.wigeonferry.routing.SendReport;

/**
 * One send of a {@link RoutedCall}, and the response to it.
 *
 * <p>Invariant: the call is told of the end exactly once; a response that is not a stream is
 * forwarded only when it is complete. Called by one traffic thread at a time, except {@link
 * #cancel}.
 */
final class RoutedSend implements SendListener {
    private static final int MAX_RESPONSE_BYTES = 16 << 20;
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Bytes of a response that is not a stream which count as progress after its first ones. */
    private static final int MIN_PROGRESS_BYTES = 256;

    /** Interval at which it is checked again whether a resend is allowed. */
    private static final Duration SILENCE_RECHECK_INTERVAL = Duration.ofMillis(300);

    /** Interval at which the mean time per event of a running stream is recorded. */
    private static final Duration STREAM_CHECK_INTERVAL = Duration.ofSeconds(1);

    private final CallContext context;
    private final RoutedCall call;
    private final Send send;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final EventScanner scanner = new EventScanner();
    private final BufferReservation reservation;
    private final ResponseBuffer body;
    private volatile Optional<ResponseHead> responseHead = Optional.empty();
    private volatile Optional<MessageFraming> responseFraming = Optional.empty();
    private volatile boolean reusedConnection;
    private volatile Runnable closeConnection = () -> {};
    private volatile Optional<Throwable> connectionFailure = Optional.empty();
    private final SendProgress progress;
    private int bytesAtLastProgress;

    RoutedSend(CallContext context, RoutedCall call, Send send) {
        this.context = context;
        this.call = call;
        this.send = send;
        progress = new SendProgress(send.startNanos());
        reservation = new BufferReservation(context.responseBudget());
        body = new ResponseBuffer(MAX_RESPONSE_BYTES, reservation);
    }

    void start(UpstreamRequest request) {
        if (ended.get()) {
            return;
        }
        closeConnection = context.sender().send(request, this);
        context.control().execute(this::watchSilence);
        if (call.job().route().kind().isStreamed()) {
            context.control().schedule(STREAM_CHECK_INTERVAL, this::checkStreamProgress);
        }
        if (ended.get()) {
            closeConnection.run();
        }
    }

    /** Ends the send with this outcome and closes its connection; does nothing if it has ended. */
    void cancel(SendOutcome outcome) {
        finish(outcome, Optional.empty());
    }

    @Override
    public void onReusedConnection() {
        reusedConnection = true;
    }

    @Override
    public void onHeaders(int status, HttpFields fields) {
        ResponseHead decodedHead = context.protocol().responseHeadDecoder().decode(status, fields);
        String requestId = call.job().request().id();
        if (reusedConnection && decodedHead.namesAnotherRequest(requestId)) {
            finish(SendOutcome.LOST_ON_REUSE, Optional.empty());
            return;
        }
        if (!tryRecordHead(decodedHead, fields)) {
            return;
        }
        body.declareLength(fields.getLongField(HttpHeader.CONTENT_LENGTH));
        long nowNanos = context.control().nanoTime();
        // An error, such as a refusal by a full upstream, comes sooner than the work would.
        Send answered = decodedHead.isSuccess() ? send : send.withoutPrediction();
        context.control()
                .execute(
                        () ->
                                context.state()
                                        .onResponseHeaders(answered, decodedHead.load(), nowNanos));
        if (decodedHead.isFromAddressedUpstream(requestId)) {
            call.onAnnouncement(send, decodedHead.announcement());
        }
        if (decodedHead.isSuccess() && hasLowConfidence(decodedHead)) {
            boolean dropped = call.tryDropAnswer(this);
            finish(dropped ? SendOutcome.DOUBTED : SendOutcome.SUPERSEDED, Optional.empty());
            return;
        }
        // Its body may have no end, so the send does not wait for it.
        decodedHead
                .outcomeWithoutBody(requestId)
                .ifPresent(outcome -> finish(outcome, Optional.empty()));
    }

    @Override
    public void onBody(ByteBuffer bytes) {
        if (ended.get()) {
            return;
        }
        ResponseHead decodedHead = responseHead.orElseThrow();
        progress.onBytes(context.control().nanoTime());
        if (!isStreamed(decodedHead)) {
            collect(bytes);
            return;
        }
        scan(bytes, decodedHead);
    }

    @Override
    public void onComplete() {
        if (ended.get()) {
            return;
        }
        ResponseHead decodedHead = responseHead.orElseThrow();
        if (isStreamed(decodedHead)) {
            boolean complete = !scanner.hasIncompleteEvent() && scanner.eventCount() > 0;
            finish(complete ? SendOutcome.ANSWERED : SendOutcome.BROKEN, Optional.empty());
        } else {
            SendOutcome outcome =
                    decodedHead.isServerError() ? SendOutcome.FAILED : SendOutcome.ANSWERED;
            finish(outcome, Optional.of(new CompleteResponse(decodedHead, body.take())));
        }
    }

    @Override
    public void onFailure(boolean mayHaveBeenSent, Throwable cause) {
        connectionFailure = Optional.of(cause);
        if (reusedConnection && responseHead.isEmpty()) {
            finish(SendOutcome.LOST_ON_REUSE, Optional.empty());
            return;
        }
        finish(mayHaveBeenSent ? SendOutcome.BROKEN : SendOutcome.NOT_SENT, Optional.empty());
    }

    /** Returns a report of the send with this outcome and what was measured so far. */
    SendReport toReport(SendOutcome outcome) {
        return new SendReport(
                send,
                outcome,
                responseHead.isPresent(),
                progress.timeToFirstByte(),
                progress.meanEventGap());
    }

    /** What was sent, and where. */
    Send send() {
        return send;
    }

    /** Status and header fields of the response; empty before they arrive. */
    Optional<ResponseHead> responseHead() {
        return responseHead;
    }

    /** How the upstream marks the end of its response; empty before the head arrives. */
    Optional<MessageFraming> responseFraming() {
        return responseFraming;
    }

    /** The error with which the connection failed; empty if it did not fail. */
    Optional<Throwable> connectionFailure() {
        return connectionFailure;
    }

    private void watchSilence() {
        checkSilence();
        call.considerHedging(this);
    }

    /**
     * Ends the send, so that the call is resent, if the upstream is silent for too long and routing
     * allows a resend; otherwise checks again later. Silence is not checked for requests that must
     * not be repeated.
     */
    private void checkSilence() {
        if (ended.get() || !call.job().route().kind().isRepeatable()) {
            return;
        }
        long nowNanos = context.control().nanoTime();
        boolean begun = progress.hasBegun();
        Duration silence = progress.silence(nowNanos);
        Duration timeLeft = SilenceTimeouts.of(call.job().route(), begun).minus(silence);
        if (!timeLeft.isNegative() && !timeLeft.isZero()) {
            context.control().schedule(timeLeft, this::checkSilence);
        } else if (context.state().mayResend(call.job(), send, begun, silence, nowNanos)) {
            context.trafficExecutor().execute(() -> cancel(SendOutcome.SILENT));
        } else {
            context.control().schedule(SILENCE_RECHECK_INTERVAL, this::checkSilence);
        }
    }

    /** Records how slow a stream is that has not ended, and that its upstream still runs. */
    private void checkStreamProgress() {
        if (ended.get()) {
            return;
        }
        progress.meanTimePerEvent(context.control().nanoTime())
                .ifPresent(
                        gap ->
                                context.state()
                                        .onStreamProgress(send, gap, progress.lastProgressNanos()));
        context.control().schedule(STREAM_CHECK_INTERVAL, this::checkStreamProgress);
    }

    private boolean isStreamed(ResponseHead decodedHead) {
        return call.job().route().kind().isStreamed() && decodedHead.isSuccess();
    }

    private boolean hasLowConfidence(ResponseHead decodedHead) {
        return decodedHead.isValidResponseTo(call.job().request().id())
                && decodedHead
                        .confidence()
                        .filter(value -> value < send.minConfidence())
                        .isPresent()
                && !call.isStreaming();
    }

    private void scan(ByteBuffer bytes, ResponseHead decodedHead) {
        ByteBuffer events = scanner.append(bytes);
        if (events.hasRemaining()) {
            progress.onEvents(scanner.eventCount(), context.control().nanoTime());
            call.forwardEvents(this, decodedHead, scanner, events);
        }
        endIfTooLarge(scanner.incompleteEventBytes());
    }

    private void collect(ByteBuffer bytes) {
        if (!body.tryAppend(bytes)) {
            finish(SendOutcome.BROKEN, Optional.empty());
            return;
        }
        int newSize = body.size();
        if (newSize - bytesAtLastProgress >= MIN_PROGRESS_BYTES) {
            bytesAtLastProgress = newSize;
            progress.onProgress(context.control().nanoTime());
        }
    }

    /** Ends the send if an event exceeds its limit or the memory of all responses. */
    private void endIfTooLarge(int eventBytes) {
        if (eventBytes > MAX_EVENT_BYTES || !reservation.tryResize(eventBytes)) {
            finish(SendOutcome.BROKEN, Optional.empty());
        }
    }

    private void finish(SendOutcome outcome, Optional<CompleteResponse> response) {
        SendReport report;
        synchronized (this) {
            if (!ended.compareAndSet(false, true)) {
                return;
            }
            report = toReport(outcome);
        }
        closeConnection.run();
        body.discard();
        if (response.isPresent()) {
            call.onResponseWritten(reservation::close);
        } else {
            reservation.close();
        }
        call.onSendEnded(this, report, response);
    }

    /** Keeps the head, unless the send has ended: then its report says that none arrived. */
    private synchronized boolean tryRecordHead(ResponseHead decodedHead, HttpFields fields) {
        if (ended.get()) {
            return false;
        }
        responseFraming = Optional.of(MessageFraming.of(fields));
        responseHead = Optional.of(decodedHead);
        return true;
    }
}
