package org.wigeonferry.node_runtime;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Endpoints for calls of other processes of this system, which must send the shared secret.
 *
 * <p>Immutable and thread safe.
 */
public final class PeerEndpoint {
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int FORBIDDEN = 403;

    private PeerEndpoint() {}

    /** Passes the request body to a handler and replies with the bytes that it returns. */
    public static Endpoint messageEndpoint(
            String peerKey, Function<byte[], CompletableFuture<byte[]>> handler) {
        return requirePeerKey(
                peerKey,
                (request, response, callback) ->
                        RequestBodies.read(request, MAX_BODY_BYTES)
                                .thenCompose(handler)
                                .whenComplete(
                                        (reply, failure) ->
                                                sendReply(response, callback, reply, failure)));
    }

    /** Answers requests without the shared secret with 403 and passes others to the endpoint. */
    public static Endpoint requirePeerKey(String peerKey, Endpoint endpoint) {
        return (request, response, callback) -> {
            if (!hasPeerKey(request, peerKey)) {
                Replies.sendError(
                        response,
                        callback,
                        new ApiError(FORBIDDEN, "forbidden", true, "not a process of this system"));
                return;
            }
            endpoint.serve(request, response, callback);
        };
    }

    private static boolean hasPeerKey(Request request, String peerKey) {
        String sentKey = request.getHeaders().get(HttpPeerTransport.KEY_HEADER);
        return sentKey != null && Secrets.equalInConstantTime(sentKey, peerKey);
    }

    private static void sendReply(
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
