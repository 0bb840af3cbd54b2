package org.wigeonferry.agent;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StartOrder;

/**
 * Calls a non-model service over HTTP; never retries a call.
 *
 * <p>Immutable and thread safe.
 */
final class HttpServiceCalls implements ServiceCalls {
    private static final int MAX_REPLY_BYTES = 1 << 20;
    private static final Duration LOOKUP_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;

    private final HttpClient client;
    private final HostAddress service;

    HttpServiceCalls(HttpClient client, HostAddress service) {
        this.client = client;
        this.service = service;
    }

    @Override
    public CompletableFuture<ServiceResult> call(StartOrder order, byte[] body) {
        String[] methodAndPath = order.operation().split(" ", 2);
        Request request =
                client.newRequest("http://" + service + "/" + methodAndPath[1])
                        .method(methodAndPath[0])
                        .headers(fields -> fields.put("X-Account", order.account().value()))
                        .timeout(Math.max(1, order.timeLeft().toMillis()), TimeUnit.MILLISECONDS);
        order.idempotencyKey()
                .ifPresent(
                        key ->
                                request.headers(
                                        f ->
                                                f.put(
                                                        "Idempotency-Key",
                                                        accountScopedKey(order, key))));
        if (body.length > 0) {
            request.body(new BytesRequestContent("application/json", body));
        }
        return send(request);
    }

    @Override
    public CompletableFuture<Optional<ServiceResult>> lookUpResult(StartOrder order) {
        String key = accountScopedKey(order, order.idempotencyKey().orElse(""));
        Request request =
                client.newRequest("http://" + service + "/status/" + key)
                        .method(HttpMethod.GET)
                        .timeout(LOOKUP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return send(request)
                .thenApply(result -> Optional.of(result).filter(r -> r.status() == OK))
                .exceptionally(failure -> Optional.empty());
    }

    private static CompletableFuture<ServiceResult> send(Request request) {
        return new CompletableResponseListener(request, MAX_REPLY_BYTES)
                .send()
                .thenApply(r -> new ServiceResult(r.getStatus(), r.getContentAsString()));
    }

    private static String accountScopedKey(StartOrder order, String key) {
        return order.account() + "." + key;
    }
}
