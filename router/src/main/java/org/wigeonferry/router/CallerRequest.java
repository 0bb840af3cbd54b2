package org.wigeonferry.router;

import java.util.Arrays;
import java.util.zip.CRC32C;
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
    private final String requestDigest;

    CallerRequest(Request request, byte[] body, String account) {
        this.request = request;
        this.body = body;
        requestDigest = digest(account, target(), body);
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

    /** A digest: equal for requests of one account with the same target and body. */
    String requestDigest() {
        return requestDigest;
    }

    /** Runs an action once if the caller leaves. */
    void onDisconnect(Runnable action) {
        endPoint().onDisconnect(action);
    }

    void clearDisconnectAction() {
        endPoint().clearDisconnectAction();
    }

    private DisconnectDetectingEndPoint endPoint() {
        return (DisconnectDetectingEndPoint)
                request.getConnectionMetaData().getConnection().getEndPoint();
    }

    private static String digest(String account, String target, byte[] body) {
        CRC32C sum = new CRC32C();
        sum.update(body);
        int head = (account + ' ' + target).hashCode();
        return Long.toHexString(sum.getValue())
                + Integer.toHexString(Arrays.hashCode(body))
                + Integer.toHexString(head);
    }
}
