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
 * Holds a streaming response of the upstream open. The end of the response is taken as a crash of
 * the upstream, and the events in it say whether its host is draining.
 *
 * <p>Invariant: after a crash, {@code onCrash} runs before the next request is sent. Thread safe.
 */
final class UpstreamWatcher {
    private static final Duration RECONNECT_DELAY = Duration.ofMillis(100);

    /** Event sent when the host begins to drain; any other event means that it is not draining. */
    private static final String DRAINING_EVENT = "leaving";

    private final HttpClient client;
    private final HostAddress upstream;
    private final ControlExecutor control;
    private final Runnable onCrash;
    private final Consumer<Boolean> onDraining;

    UpstreamWatcher(
            HttpClient client,
            HostAddress upstream,
            ControlExecutor control,
            Runnable onCrash,
            Consumer<Boolean> onDraining) {
        this.client = client;
        this.upstream = upstream;
        this.control = control;
        this.onCrash = onCrash;
        this.onDraining = onDraining;
    }

    /** Connects, and connects again after each end or failure of the response. */
    void start() {
        SseReader events = new SseReader();
        AtomicBoolean connected = new AtomicBoolean();
        client.newRequest("http://" + upstream + "/v1/watch")
                .idleTimeout(0, TimeUnit.MILLISECONDS)
                .onResponseContentAsync((r, chunk, demand) -> onContent(events, r, chunk, demand))
                .onResponseBegin(response -> connected.set(true))
                .send(result -> onResponseEnd(connected.get()));
    }

    private void onContent(
            SseReader events, Response response, Content.Chunk chunk, Runnable demand) {
        try {
            ByteBuffer bytes = chunk.getByteBuffer();
            for (String event : events.readEvents(bytes)) {
                boolean draining = event.equals(DRAINING_EVENT);
                control.execute(() -> onDraining.accept(draining));
            }
            demand.run();
        } catch (StepException e) {
            response.abort(e);
        }
    }

    private void onResponseEnd(boolean wasConnected) {
        if (wasConnected) {
            control.schedule(Duration.ZERO, onCrash);
        }
        control.schedule(RECONNECT_DELAY, this::start);
    }
}
