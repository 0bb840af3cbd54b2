package org.wigeonferry.node_runtime;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.wigeonferry.core_types.HostAddress;

/**
 * Calls other processes of this system by HTTP.
 *
 * <p>Immutable and thread safe.
 */
public final class HttpPeerTransport implements PeerTransport {
    /** Header that carries the secret shared by the processes of this system. */
    public static final String KEY_HEADER = "X-Wigeonferry-Peer-Key";

    /** Content type of the bodies, which are in Thrift's compact protocol. */
    public static final String CONTENT_TYPE = "application/x-thrift";

    private static final int OK = 200;
    private static final int MAX_REPLY_BYTES = 8 << 20;

    private final HttpClient client;
    private final String peerKey;

    /** Sends with an HTTP/2 client and authenticates with the shared secret. */
    public HttpPeerTransport(HttpClient client, String peerKey) {
        this.client = client;
        this.peerKey = peerKey;
    }

    /** Builds a request with a body; the caller sends it. */
    public Request newRequest(HostAddress peer, String path, byte[] body, Duration timeout) {
        return client.newRequest("http://" + peer + path)
                .method(HttpMethod.POST)
                .headers(fields -> fields.put(KEY_HEADER, peerKey))
                .body(new BytesRequestContent(CONTENT_TYPE, body))
                .timeout(Math.max(1, timeout.toMillis()), TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<byte[]> call(
            HostAddress peer, String path, byte[] body, Duration timeout) {
        Request request = newRequest(peer, path, body, timeout);
        return new CompletableResponseListener(request, MAX_REPLY_BYTES)
                .send()
                .thenApply(reply -> contentOrThrow(peer, reply));
    }

    private static byte[] contentOrThrow(HostAddress peer, ContentResponse reply) {
        if (reply.getStatus() != OK) {
            throw new IllegalStateException(peer + " replied with status " + reply.getStatus());
        }
        return reply.getContent();
    }
}
