package org.wigeonferry.stand_ins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Long responses by which agents see an upstream live, leave and go.
 *
 * <p>Thread safe.
 */
final class Watchers {
    private static final int OK = 200;

    private final Set<Response> responses = ConcurrentHashMap.newKeySet();
    private volatile String state = "staying";

    void serve(Request request, Response response, Callback callback) {
        response.setStatus(OK);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
        responses.add(response);
        request.addFailureListener(
                failure -> {
                    responses.remove(response);
                    callback.failed(failure);
                });
        tell(response);
    }

    void change(String newState) {
        state = newState;
        responses.forEach(this::tell);
    }

    private void tell(Response response) {
        response.write(
                false,
                ByteBuffer.wrap(("data: " + state + "\n\n").getBytes(StandardCharsets.UTF_8)),
                Callback.NOOP);
    }
}
