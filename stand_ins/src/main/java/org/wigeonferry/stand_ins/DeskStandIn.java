package org.wigeonferry.stand_ins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.settings.Settings;

/**
 * A small booking or order desk that runs every call it gets, also a doubled one, and keeps a
 * ledger.
 *
 * <p>Thread safe.
 */
public final class DeskStandIn implements Daemon {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final String STATUS = "/status/";

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();
    private final Map<String, Boolean> finished = new ConcurrentHashMap<>();
    private final Watchers watchers = new Watchers();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final Duration delay;
    private final Server server;

    /** Starts the desk. */
    public DeskStandIn(Settings settings) throws StepException {
        delay = settings.value(StandInKeys.DESK_DELAY);
        EndpointDispatcher routes =
                new EndpointDispatcher()
                        .add("POST", "/", this::serveCall)
                        .add("GET", STATUS, this::serveStatus)
                        .add("GET", "/lookup", this::serveLookUp)
                        .add("GET", "/v1/watch", watchers::serve)
                        .add("GET", "/ledger", this::serveLedger);
        server =
                HttpServers.start(
                        "desk",
                        settings.value(StandInKeys.ADDRESS),
                        routes,
                        StandInIngress.create());
    }

    /** How often each key truly ran. */
    public Map<String, Integer> runs() {
        return Map.copyOf(runs);
    }

    @Override
    public void drain(Duration deadline) {
        watchers.change("leaving");
    }

    @Override
    public void stop() {
        timer.shutdownNow();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("desk did not stop", e);
        }
    }

    private void serveCall(Request request, Response response, Callback callback) {
        String key = Optional.ofNullable(request.getHeaders().get("Idempotency-Key")).orElse("");
        RequestBodies.read(
                request,
                MAX_BODY_BYTES,
                callback,
                body -> {
                    runs.merge(key, 1, Integer::sum);
                    timer.schedule(
                            () -> finish(key, response, callback),
                            delay.toNanos(),
                            TimeUnit.NANOSECONDS);
                });
    }

    private void finish(String key, Response response, Callback callback) {
        finished.put(key, true);
        Replies.sendJson(response, callback, OK, booked(key));
    }

    private void serveStatus(Request request, Response response, Callback callback) {
        String key = Request.getPathInContext(request).substring(STATUS.length());
        if (!finished.containsKey(key)) {
            Replies.sendError(
                    response, callback, new ApiError(NOT_FOUND, "not_found", false, "not known"));
            return;
        }
        Replies.sendJson(response, callback, OK, booked(key));
    }

    private void serveLookUp(Request request, Response response, Callback callback) {
        Replies.sendJson(
                response, callback, OK, JsonHttpClient.newObject().put("runs", runs.size()));
    }

    private void serveLedger(Request request, Response response, Callback callback) {
        ObjectNode json = JsonHttpClient.newObject();
        runs.forEach(json::put);
        Replies.sendJson(response, callback, OK, json);
    }

    private static ObjectNode booked(String key) {
        return JsonHttpClient.newObject().put("booked", true).put("key", key);
    }
}
