package org.wigeonferry.router;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.Map;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.router.connections.ConnectionRegistry;
import org.wigeonferry.routing.Incarnation;

/**
 * Sends requests to upstreams, on a new connection each unless connections are kept.
 *
 * <p>On a connection that served another request, a late response to that one may still arrive, and
 * the connection could be closing. Requests that must not be repeated therefore always get a new
 * connection, on which it is known whether any byte of the request may have been written. Thread
 * safe.
 */
public final class JettySender implements UpstreamSender, AutoCloseable {
    /** Twice what a caller may send: short fields take more room on the way to an upstream. */
    private static final int MAX_REQUEST_HEADER_BYTES = 64 << 10;

    private static final int MAX_RESPONSE_HEADER_BYTES = 32 << 10;

    private final HttpClient client;
    private final JettyConnections connections;

    /**
     * Starts the client; a request whose connection is not open in time counts as not sent.
     *
     * @param idleConnections largest number of idle connections to keep to each upstream
     */
    public JettySender(Duration connectTimeout, int idleConnections, NodeMetrics metrics)
            throws StepException {
        client = HttpClients.startHttp1("upstreams", connectTimeout);
        client.setIdleTimeout(0);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
        client.setMaxRequestHeadersSize(MAX_REQUEST_HEADER_BYTES);
        connections =
                new JettyConnections(client, new ConnectionRegistry<>(idleConnections), metrics);
    }

    @Override
    public Runnable send(UpstreamRequest upstreamRequest, SendListener listener) {
        Request request = newJettyRequest(upstreamRequest);
        JettySend send = new JettySend(connections, upstreamRequest, request, listener);
        send.start();
        return send::cancel;
    }

    /**
     * Replaces the largest numbers of connections to the upstreams that may be used, and closes
     * idle connections beyond them or past their time. To be called several times a second.
     */
    public void updateConnections(Map<Incarnation, Integer> limits) {
        connections.setLimits(limits);
        connections.closeExpired();
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private Request newJettyRequest(UpstreamRequest upstreamRequest) {
        boolean isKept =
                connections.keepsConnections() && upstreamRequest.connectionUse().mayBeKept();
        Request request = newRequestFor(upstreamRequest).method(upstreamRequest.method());
        request.headers(
                fields -> {
                    fields.clear();
                    fields.add(upstreamRequest.fields());
                    if (!isKept) {
                        fields.put(new HttpField(HttpHeader.CONNECTION, "close"));
                    }
                });
        if (upstreamRequest.body().length > 0) {
            request.body(
                    new BytesRequestContent(contentType(upstreamRequest), upstreamRequest.body()));
        }
        return request;
    }

    /** Creates a request with the target as its caller wrote it. */
    private Request newRequestFor(UpstreamRequest upstreamRequest) {
        String origin = "http://" + upstreamRequest.address();
        try {
            // Jetty would take a target that begins with two slashes for an authority with a path.
            return client.newRequest(new URI(origin + upstreamRequest.target()));
        } catch (URISyntaxException e) {
            return client.newRequest(origin).path(upstreamRequest.target());
        }
    }

    private static String contentType(UpstreamRequest upstreamRequest) {
        String type = upstreamRequest.fields().get(HttpHeader.CONTENT_TYPE);
        return type == null ? "application/octet-stream" : type;
    }
}
