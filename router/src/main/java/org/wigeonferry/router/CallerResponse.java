package org.wigeonferry.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
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
 * not look complete. Thread safe.
 */
final class CallerResponse {
    /**
     * Limit of the bytes buffered for a caller that reads slowly; above it, the stream is aborted.
     */
    private static final int MAX_PENDING_BYTES = 4 << 20;

    private static final Logger LOG = LoggerFactory.getLogger("call");

    private final Response response;
    private final Callback callback;
    private final Deque<ByteBuffer> pending = new ArrayDeque<>();
    private int pendingBytes;
    private boolean writing;
    private boolean endRequested;
    private boolean finished;

    CallerResponse(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /** Sends a complete response; does nothing if the response is already finished. */
    synchronized void sendComplete(int status, HttpFields fields, byte[] body) {
        if (finished) {
            return;
        }
        finished = true;
        setHead(status, fields);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** How the end of a stream is marked; HTTP/1.0 has no chunks. */
    MessageFraming streamFraming() {
        HttpVersion version = response.getRequest().getConnectionMetaData().getHttpVersion();
        return version == HttpVersion.HTTP_1_0 ? MessageFraming.CLOSE : MessageFraming.CHUNKED;
    }

    /** Sets status and header fields; they are sent with the first events. */
    synchronized void startStream(int status, HttpFields fields) {
        setHead(status, fields);
        if (streamFraming() == MessageFraming.CHUNKED) {
            // Jetty sends no chunks of its own accord on a connection that is not kept.
            response.getHeaders()
                    .put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED.asString());
        } else {
            setResetOnClose(true);
        }
    }

    /** Sends complete events, or buffers them while a write is in progress. */
    synchronized void writeEvents(ByteBuffer events) {
        pending.add(events);
        pendingBytes += events.remaining();
        if (pendingBytes > MAX_PENDING_BYTES) {
            abort(new IOException("caller reads too slowly: buffered events exceed the limit"));
            return;
        }
        writeNext();
    }

    /** Ends the stream as complete, after the events that are still buffered. */
    synchronized void endStream() {
        endRequested = true;
        writeNext();
    }

    /** Aborts the connection, so that the response can't look complete. */
    synchronized void abort(Throwable cause) {
        if (!finished) {
            finished = true;
            callback.failed(cause);
        }
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

    private void writeNext() {
        if (writing || finished || (pending.isEmpty() && !endRequested)) {
            return;
        }
        ByteBuffer bytes = takePending();
        if (endRequested) {
            finished = true;
            response.write(true, bytes, Callback.from(this::onStreamWritten, callback::failed));
            return;
        }
        writing = true;
        response.write(false, bytes, Callback.from(this::onWritten, this::abort));
    }

    private synchronized void onWritten() {
        writing = false;
        writeNext();
    }

    private ByteBuffer takePending() {
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
