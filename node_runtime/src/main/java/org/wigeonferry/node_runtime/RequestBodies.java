package org.wigeonferry.node_runtime;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.node_runtime.ingress.BodyReader;

/**
 * Reads request bodies of bounded length.
 *
 * <p>Stateless and thread safe.
 */
public final class RequestBodies {
    private RequestBodies() {}

    /**
     * Reads the body; the future fails if it is longer than {@code maxBytes}, or if the process has
     * no room for it.
     */
    public static CompletableFuture<byte[]> read(Request request, int maxBytes) {
        if (request.getLength() > maxBytes) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("body longer than " + maxBytes + " bytes"));
        }
        return BodyReader.read(request, maxBytes);
    }

    /**
     * Reads the body and passes it to {@code onBody}; fails the callback if the body can't be read.
     */
    public static void read(
            Request request, int maxBytes, Callback callback, Consumer<byte[]> onBody) {
        read(request, maxBytes)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                callback.failed(failure);
                                return;
                            }
                            onBody.accept(body);
                        });
    }
}
