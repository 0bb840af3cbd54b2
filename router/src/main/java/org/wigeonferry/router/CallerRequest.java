package org.wigeonferry.router;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * A caller's request with its body.
 *
 * <p>Immutable by convention: nobody changes the body. Thread safe.
 */
final class CallerRequest {
    private final Request request;
    private final byte[] body;
    private final String content;

    CallerRequest(Request request, byte[] body, String account) {
        this.request = request;
        this.body = body;
        content = account + ' ' + target() + ' ' + digest(body);
    }

    String method() {
        return request.getMethod();
    }

    /** Path and query as the caller wrote them. */
    String target() {
        return request.getHttpURI().getPathQuery();
    }

    HttpFields fields() {
        return request.getHeaders();
    }

    byte[] body() {
        return body;
    }

    /** Equal for requests of one caller with the same target and body. */
    String content() {
        return content;
    }

    /** Runs an action once if the caller leaves. */
    void onDeparture(Runnable action) {
        endPoint().watch(action);
    }

    void forgetDeparture() {
        endPoint().unwatch();
    }

    private DepartureEndPoint endPoint() {
        return (DepartureEndPoint) request.getConnectionMetaData().getConnection().getEndPoint();
    }

    private static String digest(byte[] body) {
        String text = new String(body, StandardCharsets.ISO_8859_1);
        return Integer.toHexString(Arrays.hashCode(body)) + Integer.toHexString(text.hashCode());
    }
}
