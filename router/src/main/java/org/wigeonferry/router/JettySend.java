package org.wigeonferry.router;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.wigeonferry.node_runtime.HttpClients;
import org.wigeonferry.node_runtime.OverheadLimit;
import org.wigeonferry.router.connections.ConnectionUse;
import org.wigeonferry.router.connections.KeepPolicy;
import org.wigeonferry.routing.Incarnation;

/**
 * One send on a connection, which it gives back or closes once.
 *
 * <p>Invariant: after the connection has been given back, {@link #cancel} does nothing, as it may
 * already serve another request. Thread safe.
 */
final class JettySend {
    private final JettyConnections connections;
    private final Incarnation upstream;
    private final ConnectionUse use;
    private final Request request;
    private final JettySendCallbacks callbacks;
    private final AtomicBoolean released = new AtomicBoolean();
    private final AtomicReference<Optional<Connection>> connection =
            new AtomicReference<>(Optional.empty());

    JettySend(
            JettyConnections connections,
            UpstreamRequest upstreamRequest,
            Request request,
            SendListener listener) {
        this.connections = connections;
        upstream = upstreamRequest.upstream();
        use = upstreamRequest.connectionUse();
        this.request = request;
        callbacks = new JettySendCallbacks(listener);
    }

    /** Sends the request on an idle connection if it may use one and there is one. */
    void start() {
        Optional<Connection> idle =
                use.mayBeIdle() ? connections.takeIdle(upstream) : Optional.empty();
        if (idle.isPresent()) {
            callbacks.onReusedConnection();
            sendOn(idle.get());
            return;
        }
        connections.open(upstream, request, this::sendOn, this::onNotOpened);
    }

    /** Closes the connection, or the one that is being opened, unless it was given back. */
    void cancel() {
        if (released.compareAndSet(false, true)) {
            closeConnection();
        }
    }

    private void onNotOpened(Throwable cause) {
        released.set(true);
        connections.onNotOpened(upstream);
        callbacks.onNotSent(cause);
    }

    private void sendOn(Connection open) {
        connection.set(Optional.of(open));
        if (released.get()) {
            closeConnection();
            callbacks.onNotSent(
                    new IllegalStateException("send cancelled before the connection was open"));
            return;
        }
        OverheadLimit overheadLimit = HttpClients.beginExchange(open);
        request.onRequestBegin(begun -> callbacks.onRequestBegin())
                .onResponseHeaders(callbacks::onHeaders)
                .onResponseContentAsync(
                        (response, chunk, demander) -> {
                            overheadLimit.onContent(chunk.remaining());
                            callbacks.onContent(response, chunk, demander);
                        })
                .onResponseSuccess(response -> HttpClients.stopUpload(open));
        open.send(request, result -> onResult(open, result));
    }

    private void onResult(Connection open, Result result) {
        if (released.compareAndSet(false, true)) {
            keepOrClose(open, result);
        }
        callbacks.onComplete(result);
    }

    private void keepOrClose(Connection open, Result result) {
        Optional<Duration> idleTime =
                use.mayBeKept() ? KeepPolicy.idleTime(ExchangeEnds.of(result)) : Optional.empty();
        if (idleTime.isPresent()) {
            connections.keep(upstream, open, idleTime.get());
            return;
        }
        closeConnection();
    }

    /** Closes the connection at the first call after it was opened. */
    private void closeConnection() {
        connection.getAndSet(Optional.empty()).ifPresent(open -> connections.close(upstream, open));
    }
}
