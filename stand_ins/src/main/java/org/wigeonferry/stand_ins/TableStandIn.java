package org.wigeonferry.stand_ins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.RowCondition;
import org.wigeonferry.core_types.RowPut;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Daemon;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.HttpServers;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.settings.Settings;

/**
 * The platform's table service and rating service, in memory, with outages at will.
 *
 * <p>Thread safe.
 */
public final class TableStandIn implements Daemon {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;
    private static final int MAX_BODY_BYTES = 16 << 20;
    private static final Duration SLOWNESS = Duration.ofMillis(500);

    private final TableRows rows = new TableRows();
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger reads = new AtomicInteger();
    private final ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1);
    private final Server server;
    private volatile TableFault fault = TableFault.NONE;

    /** Starts the service. */
    public TableStandIn(Settings settings) throws StepException {
        EndpointDispatcher routes =
                new EndpointDispatcher()
                        .add("POST", "/v1/transact", this::serveTransact)
                        .add("GET", "/v1/row?", this::serveRow)
                        .add("GET", "/v1/row", this::serveRow)
                        .add("GET", "/v1/rows", this::serveRows)
                        .add("POST", "/v1/rate", this::serveRate)
                        .add("POST", "/control/fault", this::serveFault)
                        .add("GET", "/ledger", this::serveLedger);
        server =
                HttpServers.start(
                        "table",
                        settings.value(StandInKeys.ADDRESS),
                        routes,
                        StandInIngress.create());
    }

    /** Misbehaves from now on. */
    public void fault(TableFault value) {
        fault = value;
    }

    /** The rows, past all faults. */
    public TableRows rows() {
        return rows;
    }

    @Override
    public void drain(Duration deadline) {}

    @Override
    public void stop() {
        timer.shutdownNow();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("table did not stop", e);
        }
    }

    private void serveTransact(Request request, Response response, Callback callback) {
        RequestBodies.read(
                request,
                MAX_BODY_BYTES,
                callback,
                body -> {
                    writes.incrementAndGet();
                    String text = new String(body, StandardCharsets.UTF_8);
                    write(transaction(JsonHttpClient.parseJson(text)), response, callback);
                });
    }

    private void write(TableTransaction transaction, Response response, Callback callback) {
        TableFault now = fault;
        if (now == TableFault.DOWN) {
            callback.failed(new IllegalStateException("down"));
            return;
        }
        List<String> failed = rows.transact(transaction);
        if (now == TableFault.ANSWER_LOST) {
            callback.failed(new IllegalStateException("answer lost"));
            return;
        }
        ObjectNode json = JsonHttpClient.newObject();
        ArrayNode list = json.putArray("failed");
        failed.forEach(list::add);
        int status = failed.isEmpty() ? OK : CONFLICT;
        inTime(() -> Replies.sendJson(response, callback, status, json));
    }

    private void serveRow(Request request, Response response, Callback callback) {
        if (unavailable(callback)) {
            return;
        }
        Fields fields = Request.extractQueryParameters(request);
        Optional<Row> row = rows.read(fields.getValue("key"));
        if (row.isEmpty()) {
            ApiError error = new ApiError(NOT_FOUND, "not_found", true, "no such row");
            inTime(() -> Replies.sendError(response, callback, error));
            return;
        }
        inTime(() -> Replies.sendJson(response, callback, OK, toJson(row.get())));
    }

    private void serveRows(Request request, Response response, Callback callback) {
        if (unavailable(callback)) {
            return;
        }
        Fields fields = Request.extractQueryParameters(request);
        ObjectNode json = JsonHttpClient.newObject();
        ArrayNode list = json.putArray("rows");
        rows.scan(
                        fields.getValue("prefix"),
                        fields.getValue("after"),
                        Integer.parseInt(fields.getValue("limit")))
                .forEach(row -> list.add(toJson(row)));
        inTime(() -> Replies.sendJson(response, callback, OK, json));
    }

    private boolean unavailable(Callback callback) {
        reads.incrementAndGet();
        if (fault != TableFault.DOWN) {
            return false;
        }
        callback.failed(new IllegalStateException("down"));
        return true;
    }

    private void inTime(Runnable reply) {
        if (fault == TableFault.SLOW) {
            timer.schedule(reply, SLOWNESS.toNanos(), TimeUnit.NANOSECONDS);
            return;
        }
        reply.run();
    }

    private void serveRate(Request request, Response response, Callback callback) {
        RequestBodies.read(
                request,
                MAX_BODY_BYTES,
                callback,
                body -> {
                    String text = new String(body, StandardCharsets.UTF_8);
                    String answer = JsonHttpClient.parseJson(text).path("answer").asText();
                    ObjectNode reply =
                            JsonHttpClient.newObject().put("rating", RatingText.rating(answer));
                    Replies.sendJson(response, callback, OK, reply);
                });
    }

    private void serveFault(Request request, Response response, Callback callback) {
        RequestBodies.read(request, MAX_BODY_BYTES)
                .thenAccept(
                        body -> {
                            String text = new String(body, StandardCharsets.UTF_8);
                            String name =
                                    JsonHttpClient.parseJson(text).path("fault").asText("none");
                            fault(TableFault.valueOf(name.toUpperCase(Locale.ROOT)));
                            Replies.sendJson(response, callback, OK, JsonHttpClient.newObject());
                        });
    }

    private void serveLedger(Request request, Response response, Callback callback) {
        Replies.sendJson(
                response,
                callback,
                OK,
                JsonHttpClient.newObject().put("writes", writes.get()).put("reads", reads.get()));
    }

    private static TableTransaction transaction(JsonNode json) {
        List<RowCondition> conditions = new ArrayList<>();
        json.path("conditions")
                .forEach(
                        node ->
                                conditions.add(
                                        new RowCondition(
                                                node.path("key").asText(),
                                                Optional.ofNullable(node.get("version"))
                                                        .map(JsonNode::asLong))));
        List<RowPut> puts = new ArrayList<>();
        json.path("puts")
                .forEach(
                        node ->
                                puts.add(
                                        new RowPut(
                                                node.path("key").asText(),
                                                node.path("value").asText())));
        return new TableTransaction(conditions, puts);
    }

    private static ObjectNode toJson(Row row) {
        return JsonHttpClient.newObject()
                .put("key", row.key())
                .put("value", row.value())
                .put("version", row.version());
    }
}
