package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.wigeonferry.core_types.ApiKeyDigest;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.node_runtime.ApiError;
import org.wigeonferry.node_runtime.Endpoint;
import org.wigeonferry.node_runtime.EndpointDispatcher;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;
import org.wigeonferry.node_runtime.Secrets;
import org.wigeonferry.platform_clients.JsonHttpClient;
import org.wigeonferry.platform_clients.TableService;
import org.wigeonferry.settings.ReleaseNoteParser;

/**
 * The administration API for operators, on a port of its own and with operator keys.
 *
 * <p>Thread safe.
 */
final class AdminEndpoints {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_ROWS_PER_REPLY = 1000;

    private final EntryRuntime runtime;
    private final Committer committer;
    private final TableService table;
    private final List<ApiKeyDigest> operatorKeyDigests;

    AdminEndpoints(
            EntryRuntime runtime,
            Committer committer,
            TableService table,
            List<ApiKeyDigest> operatorKeyDigests) {
        this.runtime = runtime;
        this.committer = committer;
        this.table = table;
        this.operatorKeyDigests = List.copyOf(operatorKeyDigests);
    }

    void addTo(EndpointDispatcher routes) {
        routes.add("POST", "/admin/v1/notes", requireOperatorKey(this::postNote));
        routes.add(
                "GET",
                "/admin/v1/notes",
                requireOperatorKey(rowsEndpoint(ConfigRows.NOTE_KEY_PREFIX)));
        routes.add("GET", "/admin/v1/bills", requireOperatorKey(rowsEndpoint("bill/")));
        // Rows that agents write when they start a call that must not be repeated.
        routes.add("GET", "/admin/v1/starts", requireOperatorKey(rowsEndpoint("start/")));
        routes.add("GET", "/admin/v1/status", requireOperatorKey(this::serveStatus));
        routes.add("GET", "/admin/v1/versions", requireOperatorKey(this::serveVersions));
        routes.add("GET", "/admin/v1/upstreams", requireOperatorKey(this::serveUpstreams));
        routes.add("POST", "/admin/v1/suspects/clear", requireOperatorKey(this::clearSuspicion));
    }

    private Endpoint requireOperatorKey(Endpoint endpoint) {
        return (request, response, callback) -> {
            boolean authorized =
                    Authenticator.bearerToken(request)
                            .filter(
                                    key ->
                                            operatorKeyDigests.stream()
                                                    .anyMatch(
                                                            digest ->
                                                                    Secrets.matchesDigest(
                                                                            digest, key)))
                            .isPresent();
            if (!authorized) {
                Replies.sendError(
                        response,
                        callback,
                        new ApiError(
                                UNAUTHORIZED,
                                "unauthorized",
                                true,
                                "the Authorization header has no valid operator key"));
                return;
            }
            endpoint.serve(request, response, callback);
        };
    }

    private void postNote(Request request, Response response, Callback callback) {
        boolean dryRun = queryParameter(request, "dry_run", "false").equals("true");
        RequestBodies.read(request, ReleaseNoteParser.MAX_NOTE_CHARS)
                .thenCompose(
                        body -> commitOrDryRun(new String(body, StandardCharsets.UTF_8), dryRun))
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                Replies.sendError(
                                        response,
                                        callback,
                                        new ApiError(
                                                UNAVAILABLE, "unknown", false, failure.toString()));
                                return;
                            }
                            Replies.sendJson(
                                    response, callback, httpStatus(result), toJson(result));
                        });
    }

    private CompletableFuture<CommitResult> commitOrDryRun(String text, boolean dryRun) {
        try {
            ReleaseNote note = ReleaseNoteParser.parse(text);
            return dryRun ? committer.dryRun(note) : committer.commit(note);
        } catch (ReleaseNoteException e) {
            return CompletableFuture.completedFuture(
                    CommitResult.of(
                            CommitState.REJECTED,
                            runtime.state().controlState().catalog().revision(),
                            e.getMessage()));
        }
    }

    private static int httpStatus(CommitResult result) {
        return switch (result.state()) {
            case ACCEPTED, COMMITTED, CHECKED -> OK;
            case CONFLICT -> CONFLICT;
            case REJECTED -> BAD_REQUEST;
            case UNKNOWN -> UNAVAILABLE;
        };
    }

    private static ObjectNode toJson(CommitResult result) {
        ObjectNode json = JsonHttpClient.newObject();
        json.put("state", result.state().name().toLowerCase(Locale.ROOT));
        json.put("revision", result.revision().number()).put("detail", result.detail());
        ArrayNode zones = json.putArray("zones");
        result.zonesWithRevision().stream().map(Object::toString).sorted().forEach(zones::add);
        ArrayNode nodesBehind = json.putArray("lagging");
        result.nodesBehind().stream().map(Object::toString).sorted().forEach(nodesBehind::add);
        return json;
    }

    /** Returns an endpoint that lists rows; a caller pages by {@code after}, the last key read. */
    private Endpoint rowsEndpoint(String prefix) {
        return (request, response, callback) ->
                table.scan(prefix, queryParameter(request, "after", ""), MAX_ROWS_PER_REPLY)
                        .thenAccept(result -> replyRows(response, callback, result));
    }

    private static void replyRows(Response response, Callback callback, ScanResult result) {
        if (!result.serviceAnswered()) {
            Replies.sendError(
                    response,
                    callback,
                    new ApiError(
                            UNAVAILABLE,
                            "store_unavailable",
                            true,
                            "table service did not answer"));
            return;
        }
        ObjectNode json = JsonHttpClient.newObject();
        ArrayNode rows = json.putArray("rows");
        result.rows()
                .forEach(
                        row ->
                                rows.addObject()
                                        .put("key", row.key())
                                        .set("value", JsonHttpClient.parseJson(row.value())));
        Replies.sendJson(response, callback, OK, json);
    }

    private void serveStatus(Request request, Response response, Callback callback) {
        runtime.control()
                .submit(this::buildStatus)
                .thenAccept(json -> Replies.sendJson(response, callback, OK, json));
    }

    /** Builds the status reply; call on the control thread. */
    private ObjectNode buildStatus() {
        EntryState state = runtime.state();
        Catalog catalog = state.controlState().catalog();
        long nowNanos = System.nanoTime();
        ObjectNode json = toJson(committer.acceptanceStatus(catalog.revision()));
        json.put("node", state.controlState().identity().node().value());
        json.put("fresh", state.controlState().checkFreshness(nowNanos));
        json.put("store_age_ms", state.controlState().freshness().storeAge(nowNanos).toMillis());
        json.put("peers", state.controlState().peers().liveEntries(nowNanos).size());
        json.put("requests_in_flight", state.accountLimiter().totalInFlight());
        json.put("bills_pending", state.billLedger().pendingCount());
        json.put("bills_held_for_others", state.billLedger().heldCount());
        ArrayNode disabledZones = json.putArray("zones_out");
        catalog.disabledZones().stream().map(Object::toString).sorted().forEach(disabledZones::add);
        ArrayNode suspects = json.putArray("suspects");
        state.controlState()
                .suspects()
                .currentSuspicions(nowNanos)
                .forEach(
                        suspicion ->
                                suspects.addObject()
                                        .put("digest", suspicion.digest())
                                        .put("condemned", suspicion.poison()));
        return json;
    }

    private void serveVersions(Request request, Response response, Callback callback) {
        ObjectNode json = JsonHttpClient.newObject();
        ArrayNode list = json.putArray("versions");
        runtime.state()
                .controlState()
                .catalog()
                .versions()
                .values()
                .forEach(
                        version ->
                                list.addObject()
                                        .put("id", version.id().value())
                                        .put("model", version.model())
                                        .put("withdrawn", version.withdrawn())
                                        .put("exposure_percent", version.exposurePercent())
                                        .put(
                                                "cost_micros_per_token",
                                                version.costMicrosPerToken()));
        Replies.sendJson(response, callback, OK, json);
    }

    private void serveUpstreams(Request request, Response response, Callback callback) {
        ObjectNode json = JsonHttpClient.newObject();
        ArrayNode list = json.putArray("upstreams");
        Catalog catalog = runtime.state().controlState().catalog();
        catalog.upstreams()
                .values()
                .forEach(
                        upstream ->
                                list.addObject()
                                        .put("id", upstream.id().value())
                                        .put("zone", upstream.zone().value())
                                        .put("agent", upstream.agentAddress().toString())
                                        .put("leaving", upstream.draining())
                                        .put(
                                                "zone_out",
                                                catalog.disabledZones().contains(upstream.zone())));
        Replies.sendJson(response, callback, OK, json);
    }

    private void clearSuspicion(Request request, Response response, Callback callback) {
        String digest = queryParameter(request, "digest", "");
        runtime.control()
                .submit(() -> runtime.state().controlState().suspects().clear(digest))
                .thenAccept(
                        cleared ->
                                Replies.sendJson(
                                        response,
                                        callback,
                                        OK,
                                        JsonHttpClient.newObject().put("cleared", cleared)));
    }

    private static String queryParameter(Request request, String name, String defaultValue) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        return value == null ? defaultValue : value;
    }
}
