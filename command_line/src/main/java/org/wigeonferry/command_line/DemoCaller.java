package org.wigeonferry.command_line;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Sends requests as a client account does.
 *
 * <p>Thread safe.
 */
public final class DemoCaller {
    private static final Duration TIMEOUT = Duration.ofSeconds(25);
    private static final int OK = 200;
    private static final int MAX_REPLY_BYTES = 1 << 20;
    private static final String END_MARK = "data: [DONE]";

    private final HttpClient client;

    /** Sends by a client of HTTP/1.1. */
    public DemoCaller(HttpClient client) {
        this.client = client;
    }

    /** Sends a chat request. */
    public CompletableFuture<DemoOutcome> chat(
            DemoEntry entry,
            String account,
            DemoKind kind,
            String id,
            String model,
            String prompt) {
        boolean stream = kind == DemoKind.STREAM;
        var json = JsonHttpClient.newObject().put("model", model).put("stream", stream);
        json.putArray("messages").addObject().put("role", "user").put("content", prompt);
        Request request =
                request(entry, account, "/v1/chat/completions", id)
                        .method(HttpMethod.POST)
                        .headers(fields -> fields.put("X-Class", "draft"))
                        .body(new StringRequestContent("application/json", json.toString()));
        return send(request, kind, "bill/" + account + "/" + id);
    }

    /** Sends a booking under an idempotency key. */
    public CompletableFuture<DemoOutcome> book(
            DemoEntry entry, String account, String key, String body) {
        Request request =
                request(entry, account, "/v1/services/booking/book", key)
                        .method(HttpMethod.POST)
                        .headers(fields -> fields.put("Idempotency-Key", key))
                        .body(new StringRequestContent("application/json", body));
        return send(request, DemoKind.BOOKING, "bill/" + account + "/booking:" + key);
    }

    /** Sends an idempotent look-up. */
    public CompletableFuture<DemoOutcome> lookUp(DemoEntry entry, String account, String id) {
        Request request =
                request(entry, account, "/v1/services/booking/lookup", id).method(HttpMethod.GET);
        return send(request, DemoKind.LOOKUP, "bill/" + account + "/" + id);
    }

    private Request request(DemoEntry entry, String account, String path, String id) {
        return client.newRequest("http://" + entry.callers() + path)
                .headers(
                        fields -> {
                            fields.put("Authorization", "Bearer " + account + DemoNotes.KEY_SUFFIX);
                            fields.put("X-Request-Id", id);
                        })
                .timeout(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<DemoOutcome> send(
            Request request, DemoKind kind, String billKey) {
        long sent = System.nanoTime();
        AtomicLong first = new AtomicLong();
        request.onResponseBegin(r -> first.set(System.nanoTime() - sent));
        return new CompletableResponseListener(request, MAX_REPLY_BYTES)
                .send()
                .handle(
                        (response, failure) -> {
                            Duration firstToken = Duration.ofNanos(first.get());
                            if (failure != null) {
                                return new DemoOutcome(
                                        kind,
                                        DemoEnd.UNKNOWN,
                                        firstToken,
                                        0,
                                        Optional.empty(),
                                        failure.toString());
                            }
                            return outcome(kind, response, firstToken, billKey);
                        });
    }

    private static DemoOutcome outcome(
            DemoKind kind, ContentResponse response, Duration firstToken, String billKey) {
        String body = response.getContentAsString();
        boolean whole = kind != DemoKind.STREAM || body.contains(END_MARK);
        if (response.getStatus() == OK && whole) {
            long stages = Math.max(0, response.getHeaders().getLongField("X-Stages"));
            return new DemoOutcome(
                    kind, DemoEnd.ANSWERED, firstToken, (int) stages, Optional.of(billKey), "");
        }
        JsonNode error = JsonHttpClient.parseJson(body).path("error");
        boolean notRun = error.path("not_run").asBoolean(false);
        String detail = response.getStatus() + " " + utf8Prefix(body);
        return new DemoOutcome(
                kind,
                notRun ? DemoEnd.NOT_RUN : DemoEnd.UNKNOWN,
                firstToken,
                0,
                Optional.empty(),
                detail);
    }

    private static String utf8Prefix(String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return new String(bytes, 0, Math.min(bytes.length, 300), StandardCharsets.UTF_8);
    }
}
