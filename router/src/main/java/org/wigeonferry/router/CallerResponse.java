package org.wigeonferry.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one response to a caller: complete, or as a stream of server-sent events.
 *
 * <p>Invariants: at most one write is in progress; events that arrive meanwhile are sent together
 * in the next write; a stream that ends without {@link #endStream}, be it with the process, does
 * not look complete. At most one thread at a time is in Jetty's methods, and it holds no monitor of
 * this object, as Jetty may call back from them. Thread safe.
 */
final class CallerResponse {
    /**
     * Limit of the bytes buffered for a caller that reads slowly; above it, the stream is aborted.
     */
    private static final int MAX_PENDING_BYTES = 4 << 20;

    private static final Logger LOG = LoggerFactory.getLogger("call");

    private final Response response;
    private final Callback callback;
    private final BufferReservation streamReservation;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private int pendingBytes;

    /** Bytes of the write in progress. */
    private int writtenBytes;

    private boolean writing;
    private boolean endRequested;
    private boolean finished;
    private boolean runningSteps;

    /** The step that ends the response; empty until it ends, and once it has been taken. */
    private Optional<Runnable> finalStep = Optional.empty();

    CallerResponse(Response response, Callback callback, BufferReservation streamReservation) {
        this.response = response;
        this.callback = Callback.from(callback, () -> ended.complete(null));
        this.streamReservation = streamReservation;
        onEnd(streamReservation::close);
    }

    /** Runs the action once the caller has got the response, or is gone. */
    void onEnd(Runnable action) {
        ended.thenRun(action);
    }

    /** Sends a complete response; does nothing if the response is already finished. */
    void sendComplete(int status, HttpFields fields, byte[] body) {
        finishWith(
                () -> {
                    setHead(status, fields);
                    response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
                    response.write(true, ByteBuffer.wrap(body), callback);
                });
    }

    /** How the end of a stream is marked; HTTP/1.0 has no chunks. */
    MessageFraming streamFraming() {
        HttpVersion version = response.getRequest().getConnectionMetaData().getHttpVersion();
        return version == HttpVersion.HTTP_1_0 ? MessageFraming.CLOSE : MessageFraming.CHUNKED;
    }

    /** Sets status and header fields; they are sent with the first events. */
    void startStream(int status, HttpFields fields) {
        setHead(status, fields);
        if (streamFraming() == MessageFraming.CHUNKED) {
            // Jetty sends no chunks of its own accord on a connection that is not kept.
            response.getHeaders()
                    .put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        } else {
            setResetOnClose(true);
        }
    }

    /** Buffers complete events until {@link #flush}. Does not call Jetty. */
    synchronized void bufferEvents(ByteBuffer events) {
        pending.add(events);
        pendingBytes += events.remaining();
    }

    /** Sends the buffered events, unless a write is in progress; its end sends them. */
    void flush() {
        boolean callerReadsTooSlowly;
        synchronized (this) {
            callerReadsTooSlowly =
                    pendingBytes > MAX_PENDING_BYTES
                            || !streamReservation.tryResize(pendingBytes + writtenBytes);
        }
        if (callerReadsTooSlowly) {
            abort(new IOException("caller reads too slowly: buffered events exceed the limit"));
            return;
        }
        runSteps();
    }

    /** Ends the stream as complete, after the events that are still buffered. */
    void endStream() {
        synchronized (this) {
            endRequested = true;
        }
        runSteps();
    }

    /** Aborts the connection, so that the response can't look complete. */
    void abort(Throwable cause) {
        finishWith(() -> callback.failed(cause));
    }

    private void finishWith(Runnable step) {
        synchronized (this) {
            if (finished) {
                return;
            }
            finished = true;
            finalStep = Optional.of(step);
        }
        runSteps();
    }

    /** Runs the steps that are due, unless a thread does so already; that one runs them then. */
    private void runSteps() {
        synchronized (this) {
            if (runningSteps) {
                return;
            }
            runningSteps = true;
        }
        for (Optional<Runnable> step = takeStep(); step.isPresent(); step = takeStep()) {
            runStep(step.get());
        }
    }

    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOG.warn("response can't be written", e);
            failAfter(e);
        }
    }

    /** Fails the response, also if the step that ends it has thrown. */
    private void failAfter(RuntimeException thrown) {
        boolean lastStepThrew;
        synchronized (this) {
            lastStepThrew = finished && finalStep.isEmpty();
        }
        if (lastStepThrew) {
            callback.failed(thrown);
            return;
        }
        abort(thrown);
    }

    /** The next step; without one, the steps count as run by no thread. */
    private synchronized Optional<Runnable> takeStep() {
        Optional<Runnable> step = finalStep.or(this::nextWrite);
        finalStep = Optional.empty();
        runningSteps = step.isPresent();
        return step;
    }

    private Optional<Runnable> nextWrite() {
        if (writing || finished || (pending.isEmpty() && !endRequested)) {
            return Optional.empty();
        }
        ByteBuffer bytes = takePending();
        if (endRequested) {
            finished = true;
            Callback end = Callback.from(this::onStreamWritten, callback::failed);
            return Optional.of(() -> response.write(true, bytes, end));
        }
        writing = true;
        Callback next = Callback.from(this::onWritten, this::abort);
        return Optional.of(() -> response.write(false, bytes, next));
    }

    private void onStreamWritten() {
        if (streamFraming() == MessageFraming.CLOSE) {
            setResetOnClose(false);
        }
        callback.succeeded();
    }

    private void setResetOnClose(boolean reset) {
        try {
            DisconnectDetectingEndPoint.of(response.getRequest()).setResetOnClose(reset);
        } catch (IOException e) {
            LOG.debug("caller's connection is closed already", e);
        }
    }

    private void setHead(int status, HttpFields fields) {
        response.setStatus(status);
        response.getHeaders().add(fields);
    }

    private void onWritten() {
        synchronized (this) {
            writing = false;
            writtenBytes = 0;
        }
        runSteps();
    }

    private ByteBuffer takePending() {
        writtenBytes = pendingBytes;
        pendingBytes = 0;
        if (pending.size() == 1) {
            return pending.poll();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (!pending.isEmpty()) {
            ByteBuffer next = pending.poll();
            out.write(next.array(), next.arrayOffset() + next.position(), next.remaining());
        }
        return ByteBuffer.wrap(out.toByteArray());
    }
}
