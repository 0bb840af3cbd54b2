package org.wigeonferry.router;

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

/**
 * Sends each request on a connection of its own.
 *
 * <p>A connection that served another request could be closing, or could still bring a late answer
 * to that one; a fresh one can't, and what was written to it is known. Thread safe.
 */
public final class JettySender implements UpstreamSender, AutoCloseable {
    private static final int HEADER_BYTES = 32 << 10;

    private final HttpClient client;

    /** Starts the client; connections that aren't up in time count as not sent. */
    public JettySender(Duration connectTimeout) throws StepException {
        client = HttpClients.http1("upstreams", connectTimeout);
        client.setIdleTimeout(0);
        client.setMaxResponseHeadersSize(HEADER_BYTES);
    }

    @Override
    public Runnable send(UpstreamRequest order, SendListener listener) {
        Request request = request(order);
        JettySendCallbacks send = new JettySendCallbacks(listener);
        AtomicReference<Runnable> cancel = new AtomicReference<>(send::markCancelled);
        client.resolveDestination(request)
                .newConnection(
                        Promise.from(
                                connection -> start(request, connection, send, cancel),
                                failure -> send.onNotSent(failure)));
        return () -> cancel.get().run();
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }

    private static void start(
            Request request,
            Connection connection,
            JettySendCallbacks send,
            AtomicReference<Runnable> cancel) {
        cancel.set(connection::close);
        if (send.isCancelled()) {
            connection.close();
            send.onNotSent(new IllegalStateException("cancelled before the connection was up"));
            return;
        }
        request.onRequestBegin(begun -> send.onRequestBegin())
                .onResponseHeaders(send::onHeaders)
                .onResponseContentAsync(send::onContent);
        connection.send(
                request,
                result -> {
                    connection.close();
                    send.onComplete(result);
                });
    }

    private Request request(UpstreamRequest order) {
        Request request = client.newRequest("http://" + order.address() + "/");
        request.method(order.method()).path(order.target());
        request.headers(
                fields -> {
                    fields.clear();
                    fields.add(order.fields());
                    fields.put(new HttpField(HttpHeader.CONNECTION, "close"));
                });
        if (order.body().length > 0) {
            request.body(new BytesRequestContent(contentType(order), order.body()));
        }
        return request;
    }

    private static String contentType(UpstreamRequest order) {
        String type = order.fields().get(HttpHeader.CONTENT_TYPE);
        return type == null ? "application/octet-stream" : type;
    }
}
