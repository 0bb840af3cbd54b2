package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Hands the events of one send on the client's connection to its listener.
 *
 * <p>Invariant: the listener hears of one end. Thread safe.
 */
final class JettySend {
    private final SendListener listener;
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile boolean cancelled;
    private volatile boolean written;

    JettySend(SendListener listener) {
        this.listener = listener;
    }

    void cancelBeforeConnect() {
        cancelled = true;
    }

    boolean cancelled() {
        return cancelled;
    }

    void written() {
        written = true;
    }

    void notSent(Throwable cause) {
        if (over.compareAndSet(false, true)) {
            listener.failed(false, cause);
        }
    }

    void head(Response response) {
        listener.head(response.getStatus(), response.getHeaders());
    }

    void content(Response response, Content.Chunk chunk, Runnable demander) {
        if (chunk.hasRemaining()) {
            listener.bytes(ByteBuffer.wrap(BufferUtil.toArray(chunk.getByteBuffer())));
        }
        demander.run();
    }

    void done(Result result) {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        if (result.isSucceeded()) {
            listener.ended();
            return;
        }
        Throwable cause = result.getFailure();
        boolean answered = result.getResponse() != null && result.getResponseFailure() == null;
        if (answered && result.getRequestFailure() != null) {
            // The upstream answered in full before it had read the whole request.
            listener.ended();
            return;
        }
        listener.failed(written, cause);
    }
}
