package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.wigeonferry.core_types.ReadResult;
import org.wigeonferry.core_types.Row;
import org.wigeonferry.core_types.ScanResult;
import org.wigeonferry.core_types.TableTransaction;
import org.wigeonferry.core_types.TransactionOutcome;
import org.wigeonferry.core_types.TransactionResult;

/**
 * Speaks to the table service over HTTP and JSON.
 *
 * <p>Sends every request once; a lost answer is reported as such. Immutable and thread safe.
 */
public final class HttpTableClient implements TableService {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;

    private final JsonHttpClient calls;

    /** Calls the service by way of {@code calls}. */
    public HttpTableClient(JsonHttpClient calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<TransactionResult> transact(TableTransaction transaction) {
        return calls.post("/v1/transact", toJson(transaction))
                .thenApply(HttpTableClient::toResult)
                .exceptionally(e -> TransactionResult.UNKNOWN);
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return calls.fetch("/v1/row?key=" + encode(key))
                .thenApply(HttpTableClient::toRead)
                .exceptionally(e -> ReadResult.UNANSWERED);
    }

    @Override
    public CompletableFuture<ScanResult> scan(String prefix, String afterKey, int limit) {
        String query = "?prefix=" + encode(prefix) + "&after=" + encode(afterKey);
        return calls.fetch("/v1/rows" + query + "&limit=" + limit)
                .thenApply(HttpTableClient::toScan)
                .exceptionally(e -> ScanResult.UNANSWERED);
    }

    private static ObjectNode toJson(TableTransaction transaction) {
        ObjectNode json = JsonHttpClient.newObject();
        ArrayNode conditions = json.putArray("conditions");
        transaction
                .conditions()
                .forEach(
                        condition -> {
                            ObjectNode node = conditions.addObject().put("key", condition.key());
                            condition.version().ifPresent(version -> node.put("version", version));
                        });
        ArrayNode puts = json.putArray("puts");
        transaction
                .puts()
                .forEach(put -> puts.addObject().put("key", put.key()).put("value", put.value()));
        return json;
    }

    private static TransactionResult toResult(JsonResponse reply) {
        if (reply.status() == OK) {
            return new TransactionResult(TransactionOutcome.APPLIED, List.of());
        }
        if (reply.status() == CONFLICT) {
            List<String> failed = new ArrayList<>();
            reply.body().path("failed").forEach(key -> failed.add(key.asText()));
            return new TransactionResult(TransactionOutcome.REFUSED, failed);
        }
        return TransactionResult.UNKNOWN;
    }

    private static ReadResult toRead(JsonResponse reply) {
        if (reply.status() == NOT_FOUND) {
            return new ReadResult(true, Optional.empty());
        }
        if (reply.status() != OK) {
            return ReadResult.UNANSWERED;
        }
        return new ReadResult(true, Optional.of(toRow(reply.body())));
    }

    private static ScanResult toScan(JsonResponse reply) {
        if (reply.status() != OK) {
            return ScanResult.UNANSWERED;
        }
        List<Row> rows = new ArrayList<>();
        reply.body().path("rows").forEach(row -> rows.add(toRow(row)));
        return new ScanResult(true, rows);
    }

    private static Row toRow(JsonNode node) {
        return new Row(
                node.path("key").asText(),
                node.path("value").asText(),
                node.path("version").asLong());
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
