package org.wigeonferry.router;

import java.net.URI;
import java.net.URISyntaxException;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.Promise;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.node_runtime.OverheadLimit;

/**
 * Opens a new connection for each request.
 *
 * <p>A connection that served another request could be closing, or could still deliver a late
 * response to that one. On a new connection neither can happen, and it is known whether any byte of
 * the request may have been written. Thread safe.
 */
public final class JettySender implements UpstreamSender, AutoCloseable {
    private static final int MAX_RESPONSE_HEADER_BYTES = 32 << 10;

    private final HttpClient client;

    /** Starts the client; a request whose connection is not open in time counts as not sent. */
    public JettySender(Duration connectTimeout) throws StepException {
        client = HttpClients.startHttp1("upstreams", connectTimeout);
        client.setIdleTimeout(0);
        client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
    }

    @Override
    public Runnable send(UpstreamRequest upstreamRequest, SendListener listener) {
        Request request = newJettyRequest(upstreamRequest);
        JettySendCallbacks callbacks = new JettySendCallbacks(listener);
        AtomicReference<Runnable> cancel = new AtomicReference<>(callbacks::markCancelled);
        client.resolveDestination(request)
                .newConnection(
                        Promise.from(
                                connection -> start(request, connection, callbacks, cancel),
                                failure -> callbacks.onNotSent(failure)));
        return () -> cancel.get().run();
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private static void start(
            Request request,
            Connection connection,
            JettySendCallbacks callbacks,
            AtomicReference<Runnable> cancel) {
        cancel.set(connection::close);
        if (callbacks.isCancelled()) {
            connection.close();
            callbacks.onNotSent(
                    new IllegalStateException("send cancelled before the connection was open"));
            return;
        }
        OverheadLimit overheadLimit = HttpClients.limitOverhead(connection);
        request.onRequestBegin(begun -> callbacks.onRequestBegin())
                .onResponseHeaders(callbacks::onHeaders)
                .onResponseContentAsync(
                        (response, chunk, demander) -> {
                            overheadLimit.onContent(chunk.remaining());
                            callbacks.onContent(response, chunk, demander);
                        })
                .onResponseSuccess(response -> HttpClients.stopUpload(connection));
        connection.send(
                request,
                result -> {
                    connection.close();
                    callbacks.onComplete(result);
                });
    }

    private Request newJettyRequest(UpstreamRequest upstreamRequest) {
        Request request = newRequestFor(upstreamRequest).method(upstreamRequest.method());
        request.headers(
                fields -> {
                    fields.clear();
                    fields.add(upstreamRequest.fields());
                    fields.put(new HttpField(HttpHeader.CONNECTION, "close"));
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
