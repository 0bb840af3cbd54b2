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
 * Client of the table service over HTTP and JSON.
 *
 * <p>Sends every request once, without retries. A failed call or an unexpected HTTP status gives
 * {@link TransactionResult#UNANSWERED}, {@link ReadResult#UNANSWERED} or {@link
 * ScanResult#UNANSWERED}. Immutable and thread safe.
 */
public final class HttpTableClient implements TableService {
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int NOT_FOUND = 404;

    private final JsonHttpClient http;

    /** Creates a client that calls the table service through {@code http}. */
    public HttpTableClient(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<TransactionResult> transact(TableTransaction transaction) {
        return http.post("/v1/transact", toJson(transaction))
                .thenApply(HttpTableClient::toTransactionResult)
                .exceptionally(e -> TransactionResult.UNANSWERED);
    }

    @Override
    public CompletableFuture<ReadResult> read(String key) {
        return http.fetch("/v1/row?key=" + urlEncode(key))
                .thenApply(HttpTableClient::toReadResult)
                .exceptionally(e -> ReadResult.UNANSWERED);
    }

    @Override
    public CompletableFuture<ScanResult> scan(String prefix, String afterKey, int limit) {
        String query = "?prefix=" + urlEncode(prefix) + "&after=" + urlEncode(afterKey);
        return http.fetch("/v1/rows" + query + "&limit=" + limit)
                .thenApply(HttpTableClient::toScanResult)
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

    private static TransactionResult toTransactionResult(JsonResponse response) {
        if (response.status() == OK) {
            return new TransactionResult(TransactionOutcome.APPLIED, List.of());
        }
        if (response.status() == CONFLICT) {
            List<String> failedKeys = new ArrayList<>();
            response.body().path("failed").forEach(key -> failedKeys.add(key.asText()));
            return new TransactionResult(TransactionOutcome.REFUSED, failedKeys);
        }
        return TransactionResult.UNANSWERED;
    }

    private static ReadResult toReadResult(JsonResponse response) {
        if (response.status() == NOT_FOUND) {
            return new ReadResult(true, Optional.empty());
        }
        if (response.status() != OK) {
            return ReadResult.UNANSWERED;
        }
        return new ReadResult(true, Optional.of(toRow(response.body())));
    }

    private static ScanResult toScanResult(JsonResponse response) {
        if (response.status() != OK) {
            return ScanResult.UNANSWERED;
        }
        List<Row> rows = new ArrayList<>();
        response.body().path("rows").forEach(row -> rows.add(toRow(row)));
        return new ScanResult(true, rows);
    }

    private static Row toRow(JsonNode node) {
        return new Row(
                node.path("key").asText(),
                node.path("value").asText(),
                node.path("version").asLong());
    }

    private static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
}
