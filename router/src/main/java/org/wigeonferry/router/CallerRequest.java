package org.wigeonferry.router;

import java.util.Arrays;
import java.util.zip.CRC32C;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;

/**
 * A caller's request, with its body read completely.
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

    /**
     * Digest of account, target and body, by which poison requests (requests known to crash
     * upstreams) are recognised. Requests that agree in all three have the same digest; it is no
     * cryptographic hash, so others may collide.
     */
    String requestDigest() {
        return requestDigest;
    }

    /** Runs the action once if the caller disconnects before {@link #clearDisconnectAction}. */
    void onDisconnect(Runnable action) {
        endPoint().onDisconnect(action);
    }

    void clearDisconnectAction() {
        endPoint().clearDisconnectAction();
    }

    private DisconnectDetectingEndPoint endPoint() {
        return DisconnectDetectingEndPoint.of(request);
    }

    private static String digest(String account, String target, byte[] body) {
        CRC32C checksum = new CRC32C();
        checksum.update(body);
        int targetHash = (account + ' ' + target).hashCode();
        return Long.toHexString(checksum.getValue())
                + Integer.toHexString(Arrays.hashCode(body))
                + Integer.toHexString(targetHash);
    }
}
