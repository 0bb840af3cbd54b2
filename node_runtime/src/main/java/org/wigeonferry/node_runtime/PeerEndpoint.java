package org.wigeonferry.node_runtime;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Serves calls of this system's own processes, once their secret was checked.
 *
 * <p>Immutable and thread safe.
 */
public final class PeerEndpoint {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;

    private PeerEndpoint() {}

    /** Serves bytes for bytes. */
    public static Endpoint messageEndpoint(
            String key, Function<byte[], CompletableFuture<byte[]>> function) {
        return requirePeerKey(
                key,
                (request, response, callback) ->
                        RequestBodies.read(request, MAX_BODY_BYTES)
                                .thenCompose(function)
                                .whenComplete(
                                        (reply, failure) ->
                                                reply(response, callback, reply, failure)));
    }

    /** Serves only callers that know the secret. */
    public static Endpoint requirePeerKey(String key, Endpoint endpoint) {
        return (request, response, callback) -> {
            if (!authenticated(request, key)) {
                Replies.sendError(
                        response,
                        callback,
                        new ApiError(FORBIDDEN, "forbidden", true, "not a process of this system"));
                return;
            }
            endpoint.serve(request, response, callback);
        };
    }

    private static boolean authenticated(Request request, String key) {
        String given = request.getHeaders().get(HttpPeerTransport.KEY_HEADER);
        return given != null && Secrets.equalInConstantTime(given, key);
    }

    private static void reply(
            Response response, Callback callback, byte[] reply, Throwable failure) {
        if (failure != null) {
            Replies.sendError(
                    response,
                    callback,
                    new ApiError(BAD_REQUEST, "bad_message", true, failure.toString()));
            return;
        }
        Replies.sendBytes(response, callback, OK, reply);
    }
}
