package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/**
 * Speaks to the rating service over HTTP and JSON.
 *
 * <p>Immutable and thread safe.
 */
public final class HttpRatingClient implements RatingService {
    private static final int OK = 200;

    private final JsonHttpClient calls;

    /** Calls the service by way of {@code calls}. */
    public HttpRatingClient(JsonHttpClient calls) {
        this.calls = calls;
    }

    @Override
    public CompletableFuture<OptionalDouble> rate(
            String requestClass, String prompt, String answer) {
        ObjectNode json = JsonHttpClient.newObject();
        json.put("class", requestClass).put("prompt", prompt).put("answer", answer);
        return calls.post("/v1/rate", json)
                .thenApply(HttpRatingClient::toRating)
                .exceptionally(e -> OptionalDouble.empty());
    }

    private static OptionalDouble toRating(JsonResponse reply) {
        if (reply.status() != OK || !reply.body().path("rating").isNumber()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(reply.body().path("rating").asDouble());
    }
}
