package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the rating service over HTTP and JSON.
 *
 * <p>Any failure of a call, also a time-out, gives an empty rating. Immutable and thread safe.
 */
public final class HttpRatingClient implements RatingService {
    private static final int OK = 200;

    private final JsonHttpClient http;

    /** Creates a client that calls the rating service through {@code http}. */
    public HttpRatingClient(JsonHttpClient http) {
        this.http = http;
    }

    @Override
    public CompletableFuture<OptionalDouble> rate(
            String requestClass, String prompt, String answer) {
        ObjectNode json = JsonHttpClient.newObject();
        json.put("class", requestClass).put("prompt", prompt).put("answer", answer);
        return http.post("/v1/rate", json)
                .thenApply(HttpRatingClient::toRating)
                .exceptionally(e -> OptionalDouble.empty());
    }

    private static OptionalDouble toRating(JsonResponse response) {
        if (response.status() != OK || !response.body().path("rating").isNumber()) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(response.body().path("rating").asDouble());
    }
}
