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
    private volatile boolean requestBegun;
    private volatile boolean endsWithConnection;

    JettySendCallbacks(SendListener listener) {
        this.listener = listener;
    }

    void onReusedConnection() {
        listener.onReusedConnection();
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
        endsWithConnection = MessageFraming.endsWithConnection(response);
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
        // The upstream may complete its response before it has read the whole request. A response
        // that ends with its connection has no such end: the write may have consumed the error of
        // a reset, and the read then sees an ordinary end.
        if (answered && result.getRequestFailure() != null && !endsWithConnection) {
            listener.onComplete();
            return;
        }
        listener.onFailure(requestBegun, cause);
    }
}
