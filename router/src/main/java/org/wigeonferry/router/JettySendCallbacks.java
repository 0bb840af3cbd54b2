package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.BufferUtil;

/**
 * Forwards the callbacks of the Jetty client for one send to its {@link SendListener}.
 *
 * <p>Invariant: the listener is told of the end once, by {@link SendListener#onComplete} or {@link
 * SendListener#onFailure}. Thread safe.
 */
final class JettySendCallbacks {
    private final SendListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile boolean cancelled;
    private volatile boolean requestBegun;

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
        requestBegun = true;
    }

    void onNotSent(Throwable cause) {
        if (ended.compareAndSet(false, true)) {
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
        if (!ended.compareAndSet(false, true)) {
            return;
        }
        if (result.isSucceeded()) {
            listener.onComplete();
            return;
        }
        Throwable cause = result.getFailure();
        boolean answered = result.getResponse() != null && result.getResponseFailure() == null;
        if (answered && result.getRequestFailure() != null) {
            // The upstream sent a complete response before it had read the whole request.
            listener.onComplete();
            return;
        }
        listener.onFailure(requestBegun, cause);
    }
}
