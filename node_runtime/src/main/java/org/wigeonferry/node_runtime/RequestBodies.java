package org.wigeonferry.node_runtime;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/**
 * Reads request bodies of bounded length.
 *
 * <p>Stateless and thread safe.
 */
public final class RequestBodies {
    private RequestBodies() {}

    /** Reads the body; the future fails if it is longer than {@code maxBytes}. */
    public static CompletableFuture<byte[]> read(Request request, int maxBytes) {
        if (request.getLength() > maxBytes) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("body longer than " + maxBytes + " bytes"));
        }
        return Content.Source.asByteArrayAsync(request, maxBytes);
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
