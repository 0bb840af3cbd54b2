package org.wigeonferry.node_runtime;

import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves one kind of HTTP request.
 *
 * <p>Implementations are thread safe, return at once and complete the callback exactly once, now or
 * later.
 */
@FunctionalInterface
public interface Endpoint {
    /** Serves the request; the callback completes when the response is written. */
    void serve(Request request, Response response, Callback callback);
}
