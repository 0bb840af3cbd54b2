package org.wigeonferry.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Writes one answer to a caller: whole, or event by event.
 *
 * <p>Invariant: one write is under way at most; what comes meanwhile leaves in one write. Thread
 * safe.
 */
final class CallerResponse {
    /** Most bytes that wait for a caller that reads slowly. */
    private static final int MAX_WAITING_BYTES = 4 << 20;

    private final Response response;
    private final Callback callback;
    private final Deque<ByteBuffer> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private boolean writing;
    private boolean last;
    private boolean over;

    CallerResponse(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /** Answers as a whole. */
    synchronized void sendFull(int status, HttpFields fields, byte[] body) {
        if (over) {
            return;
        }
        over = true;
        head(status, fields);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Starts a stream. */
    synchronized void startStream(int status, HttpFields fields) {
        head(status, fields);
    }

    /** Adds whole events to a stream. */
    synchronized void writeEvents(ByteBuffer events) {
        waiting.add(events);
        waitingBytes += events.remaining();
        if (waitingBytes > MAX_WAITING_BYTES) {
            abort(new IOException("caller reads too slowly"));
            return;
        }
        flush();
    }

    /** Ends a stream as complete. */
    synchronized void endStream() {
        last = true;
        flush();
    }

    /** Breaks the connection, so that the answer can't look complete. */
    synchronized void abort(Throwable cause) {
        if (!over) {
            over = true;
            callback.failed(cause);
        }
    }

    private void head(int status, HttpFields fields) {
        response.setStatus(status);
        response.getHeaders().add(fields);
    }

    private void flush() {
        if (writing || over || (waiting.isEmpty() && !last)) {
            return;
        }
        ByteBuffer bytes = takeAll();
        if (last) {
            over = true;
            response.write(true, bytes, callback);
            return;
        }
        writing = true;
        response.write(false, bytes, Callback.from(this::written, this::abort));
    }

    private synchronized void written() {
        writing = false;
        flush();
    }

    private ByteBuffer takeAll() {
        waitingBytes = 0;
        if (waiting.size() == 1) {
            return waiting.poll();
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (!waiting.isEmpty()) {
            ByteBuffer next = waiting.poll();
            out.write(next.array(), next.arrayOffset() + next.position(), next.remaining());
        }
        return ByteBuffer.wrap(out.toByteArray());
    }
}
