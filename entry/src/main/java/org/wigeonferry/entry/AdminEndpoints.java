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
import org.wigeonferry.platform_clients.JsonCalls;
import org.wigeonferry.platform_clients.TableService;
import org.wigeonferry.settings.ReleaseNoteParser;

/**
 * The administration API, on its own port and with its own keys.
 *
 * <p>Thread safe.
 */
final class AdminEndpoints {
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_ROWS = 1000;

    private final EntryRuntime runtime;
    private final Committer committer;
    private final TableService table;
    private final List<ApiKeyDigest> keys;

    AdminEndpoints(
            EntryRuntime runtime,
            Committer committer,
            TableService table,
            List<ApiKeyDigest> keys) {
        this.runtime = runtime;
        this.committer = committer;
        this.table = table;
        this.keys = List.copyOf(keys);
    }

    void addTo(EndpointDispatcher routes) {
        routes.add("POST", "/admin/v1/notes", guarded(this::postNote));
        routes.add("GET", "/admin/v1/notes", guarded(rows(ConfigRows.NOTE_KEY_PREFIX)));
        routes.add("GET", "/admin/v1/bills", guarded(rows("bill/")));
        routes.add("GET", "/admin/v1/starts", guarded(rows("start/")));
        routes.add("GET", "/admin/v1/status", guarded(this::status));
        routes.add("GET", "/admin/v1/versions", guarded(this::versions));
        routes.add("GET", "/admin/v1/upstreams", guarded(this::upstreams));
        routes.add("POST", "/admin/v1/suspects/clear", guarded(this::clearSuspect));
    }

    private Endpoint guarded(Endpoint endpoint) {
        return (request, response, callback) -> {
            boolean known =
                    Authenticator.bearerToken(request)
                            .filter(
                                    key ->
                                            keys.stream()
                                                    .anyMatch(d -> Secrets.matchesDigest(d, key)))
                            .isPresent();
            if (!known) {
                Replies.sendError(
                        response,
                        callback,
                        new ApiError(UNAUTHORIZED, "unauthorized", true, "no valid operator key"));
                return;
            }
            endpoint.serve(request, response, callback);
        };
    }

    private void postNote(Request request, Response response, Callback callback) {
        boolean dryRun = query(request, "dry_run", "false").equals("true");
        RequestBodies.read(request, ReleaseNoteParser.MAX_LENGTH)
                .thenCompose(body -> apply(new String(body, StandardCharsets.UTF_8), dryRun))
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
                            Replies.sendJson(response, callback, status(result), toJson(result));
                        });
    }

    private CompletableFuture<CommitResult> apply(String text, boolean dryRun) {
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

    private static int status(CommitResult result) {
        return switch (result.state()) {
            case ACCEPTED, COMMITTED, CHECKED -> OK;
            case CONFLICT -> CONFLICT;
            case REJECTED -> BAD_REQUEST;
            case UNKNOWN -> UNAVAILABLE;
        };
    }

    private static ObjectNode toJson(CommitResult result) {
        ObjectNode json = JsonCalls.object();
        json.put("state", result.state().name().toLowerCase(Locale.ROOT));
        json.put("revision", result.revision().number()).put("detail", result.detail());
        ArrayNode zones = json.putArray("zones");
        result.zonesWithRevision().stream().map(Object::toString).sorted().forEach(zones::add);
        ArrayNode lagging = json.putArray("lagging");
        result.nodesBehind().stream().map(Object::toString).sorted().forEach(lagging::add);
        return json;
    }

    private Endpoint rows(String prefix) {
        return (request, response, callback) ->
                table.scan(prefix, query(request, "after", ""), MAX_ROWS)
                        .thenAccept(result -> replyRows(response, callback, result));
    }

    private static void replyRows(Response response, Callback callback, ScanResult result) {
        if (!result.serviceAnswered()) {
            Replies.sendError(
                    response,
                    callback,
                    new ApiError(UNAVAILABLE, "store_unavailable", true, "store did not answer"));
            return;
        }
        ObjectNode json = JsonCalls.object();
        ArrayNode rows = json.putArray("rows");
        result.rows()
                .forEach(
                        row ->
                                rows.addObject()
                                        .put("key", row.key())
                                        .set("value", JsonCalls.parse(row.value())));
        Replies.sendJson(response, callback, OK, json);
    }

    private void status(Request request, Response response, Callback callback) {
        runtime.control()
                .submit(this::statusOnControl)
                .thenAccept(json -> Replies.sendJson(response, callback, OK, json));
    }

    private ObjectNode statusOnControl() {
        EntryState state = runtime.state();
        Catalog catalog = state.controlState().catalog();
        long now = System.nanoTime();
        ObjectNode json = toJson(committer.acceptanceStatus(catalog.revision()));
        json.put("node", state.controlState().identity().node().value());
        json.put("fresh", state.controlState().checkFreshness(now));
        json.put("store_age_ms", state.controlState().freshness().storeAge(now).toMillis());
        json.put("peers", state.controlState().peers().liveEntries(now).size());
        json.put("requests_in_flight", state.accountLimiter().totalInFlight());
        json.put("bills_pending", state.billLedger().pendingCount());
        json.put("bills_held_for_others", state.billLedger().heldCount());
        ArrayNode out = json.putArray("zones_out");
        catalog.disabledZones().stream().map(Object::toString).sorted().forEach(out::add);
        ArrayNode suspects = json.putArray("suspects");
        state.controlState()
                .suspects()
                .currentSuspicions(now)
                .forEach(
                        s ->
                                suspects.addObject()
                                        .put("digest", s.digest())
                                        .put("condemned", s.poison()));
        return json;
    }

    private void versions(Request request, Response response, Callback callback) {
        ObjectNode json = JsonCalls.object();
        ArrayNode list = json.putArray("versions");
        runtime.state()
                .controlState()
                .catalog()
                .versions()
                .values()
                .forEach(
                        v ->
                                list.addObject()
                                        .put("id", v.id().value())
                                        .put("model", v.model())
                                        .put("withdrawn", v.withdrawn())
                                        .put("exposure_percent", v.exposurePercent())
                                        .put("cost_micros_per_token", v.costMicrosPerToken()));
        Replies.sendJson(response, callback, OK, json);
    }

    private void upstreams(Request request, Response response, Callback callback) {
        ObjectNode json = JsonCalls.object();
        ArrayNode list = json.putArray("upstreams");
        Catalog catalog = runtime.state().controlState().catalog();
        catalog.upstreams()
                .values()
                .forEach(
                        u ->
                                list.addObject()
                                        .put("id", u.id().value())
                                        .put("zone", u.zone().value())
                                        .put("agent", u.agentAddress().toString())
                                        .put("leaving", u.draining())
                                        .put(
                                                "zone_out",
                                                catalog.disabledZones().contains(u.zone())));
        Replies.sendJson(response, callback, OK, json);
    }

    private void clearSuspect(Request request, Response response, Callback callback) {
        String digest = query(request, "digest", "");
        runtime.control()
                .submit(() -> runtime.state().controlState().suspects().clear(digest))
                .thenAccept(
                        cleared ->
                                Replies.sendJson(
                                        response,
                                        callback,
                                        OK,
                                        JsonCalls.object().put("cleared", cleared)));
    }

    private static String query(Request request, String name, String defaultValue) {
        Fields fields = Request.extractQueryParameters(request);
        String value = fields.getValue(name);
        return value == null ? defaultValue : value;
    }
}
