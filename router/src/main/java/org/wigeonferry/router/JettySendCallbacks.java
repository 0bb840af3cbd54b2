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
final class JettySendCallbacks {
    private final SendListener listener;
    private final AtomicBoolean over = new AtomicBoolean();
    private volatile boolean cancelled;
    private volatile boolean written;

    JettySendCallbacks(SendListener listener) {
        this.listener = listener;
    }

    void markCancelled() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    void onRequestBegin() {
        written = true;
    }

    void onNotSent(Throwable cause) {
        if (over.compareAndSet(false, true)) {
            listener.onFailure(false, cause);
        }
    }

    void onHeaders(Response response) {
        listener.onHeaders(response.getStatus(), response.getHeaders());
    }

    void onContent(Response response, Content.Chunk chunk, Runnable demander) {
        if (chunk.hasRemaining()) {
            listener.onBody(ByteBuffer.wrap(BufferUtil.toArray(chunk.getByteBuffer())));
        }
        demander.run();
    }

    void onComplete(Result result) {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        if (result.isSucceeded()) {
            listener.onComplete();
            return;
        }
        Throwable cause = result.getFailure();
        boolean answered = result.getResponse() != null && result.getResponseFailure() == null;
        if (answered && result.getRequestFailure() != null) {
            // The upstream answered in full before it had read the whole request.
            listener.onComplete();
            return;
        }
        listener.onFailure(written, cause);
    }
}
