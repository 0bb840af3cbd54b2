package org.wigeonferry.node_runtime;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Passes each request to the endpoint of its method with the longest matching path prefix; answers
 * 404 if there is none.
 *
 * <p>Immutable once the server runs; thread safe from then on.
 */
public final class EndpointDispatcher extends Handler.Abstract.NonBlocking {
    private static final int NOT_FOUND = 404;

    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();

    /** Adds an endpoint for a method and a path prefix; replaces an earlier one for both. */
    public EndpointDispatcher add(String method, String pathPrefix, Endpoint endpoint) {
        endpoints.put(method + " " + pathPrefix, endpoint);
        return this;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String methodAndPath = request.getMethod() + " " + Request.getPathInContext(request);
        Optional<Endpoint> endpoint =
                endpoints.entrySet().stream()
                        .filter(entry -> methodAndPath.startsWith(entry.getKey()))
                        .max((a, b) -> Integer.compare(a.getKey().length(), b.getKey().length()))
                        .map(Map.Entry::getValue);
        if (endpoint.isEmpty()) {
            ApiError error = new ApiError(NOT_FOUND, "not_found", true, "no such path");
            Replies.sendError(response, callback, error);
            return true;
        }
        endpoint.get().serve(request, response, callback);
        return true;
    }
}
