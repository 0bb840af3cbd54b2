package org.wigeonferry.node_runtime;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads request bodies of bounded length.
 *
 * <p>Stateless and thread safe.
 */
public final class Bodies {
    private Bodies() {}

    /** Reads the body; fails if it is longer than {@code maxBytes}. */
    public static CompletableFuture<byte[]> read(Request request, int maxBytes) {
        if (request.getLength() > maxBytes) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("body longer than " + maxBytes + " bytes"));
        }
        return Content.Source.asByteArrayAsync(request, maxBytes);
    }
}
