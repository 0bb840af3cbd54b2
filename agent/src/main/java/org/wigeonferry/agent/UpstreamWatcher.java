package org.wigeonferry.agent;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.io.Content;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.ControlExecutor;

/**
 * Watches the upstream by one long response: its end means that the upstream was lost.
 *
 * <p>Invariant: after a loss the listener is told before any new connection is watched. Thread
 * safe.
 */
final class UpstreamWatcher {
    private static final Duration RETRY_PAUSE = Duration.ofMillis(100);
    private static final String LEAVING = "leaving";

    private final HttpClient client;
    private final HostAddress upstream;
    private final ControlExecutor control;
    private final Runnable onLost;
    private final Consumer<Boolean> onLeaving;

    UpstreamWatcher(
            HttpClient client,
            HostAddress upstream,
            ControlExecutor control,
            Runnable onLost,
            Consumer<Boolean> onLeaving) {
        this.client = client;
        this.upstream = upstream;
        this.control = control;
        this.onLost = onLost;
        this.onLeaving = onLeaving;
    }

    /** Begins to watch; goes on until the client stops. */
    void start() {
        SseReader events = new SseReader();
        AtomicBoolean attached = new AtomicBoolean();
        client.newRequest("http://" + upstream + "/v1/watch")
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .onResponseContentAsync((r, chunk, demand) -> onContent(events, r, chunk, demand))
                .onResponseBegin(response -> attached.set(true))
                .send(result -> onEnd(attached.get()));
    }

    private void onContent(
            SseReader events, Response response, Content.Chunk chunk, Runnable demand) {
        try {
            ByteBuffer bytes = chunk.getByteBuffer();
            for (String event : events.readEvents(bytes)) {
                boolean leaving = event.equals(LEAVING);
                control.execute(() -> onLeaving.accept(leaving));
            }
            demand.run();
        } catch (StepException e) {
            response.abort(e);
        }
    }

    private void onEnd(boolean wasAttached) {
        if (wasAttached) {
            control.schedule(Duration.ZERO, onLost);
        }
        control.schedule(RETRY_PAUSE, this::start);
    }
}
