package org.wigeonferry.node_runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Writes complete HTTP responses and completes their callbacks.
 *
 * <p>Stateless and thread safe.
 */
public final class Replies {
    private static final int OK = 200;
    private static final long MILLIS_PER_SECOND = 1000;

    private Replies() {}

    public static void sendJson(Response response, Callback callback, int status, JsonNode body) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        sendBytes(response, callback, status, body.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Sends plain text with status 200. */
    public static void sendText(Response response, Callback callback, String body) {
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; charset=utf-8");
        sendBytes(response, callback, OK, body.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends bytes; sets no content type. */
    public static void sendBytes(Response response, Callback callback, int status, byte[] body) {
        response.setStatus(status);
        response.write(true, ByteBuffer.wrap(body), callback);
    }

    /** Sends an error as JSON, with a {@code Retry-After} header if it has a retry hint. */
    public static void sendError(Response response, Callback callback, ApiError error) {
        if (!error.retryAfter().isZero()) {
            long seconds = Math.max(1, error.retryAfter().toMillis() / MILLIS_PER_SECOND);
            response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(seconds));
        }
        sendJson(response, callback, error.status(), toJson(error));
    }

    /** Encodes an error as the JSON body of a response. */
    public static ObjectNode toJson(ApiError error) {
        ObjectNode body = JsonHttpClient.newObject();
        body.putObject("error")
                .put("type", error.code())
                .put("message", error.message())
                .put("not_run", error.knownNotRun());
        return body;
    }
}
