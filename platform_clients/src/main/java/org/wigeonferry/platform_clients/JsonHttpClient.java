package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.wigeonferry.core_types.HostAddress;

/**
 * Client of one service that exchanges JSON over HTTP.
 *
 * <p>Sends every request once, without retries. The futures fail if the call fails, if the response
 * exceeds 8 MiB or if it is not complete within the timeout. Immutable and thread safe.
 */
public final class JsonHttpClient {
    private static final int MAX_NESTING_DEPTH = 100;
    private static final int MAX_NUMBER_LENGTH = 100;
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                    JsonFactory.builder()
                            .streamReadConstraints(
                                    StreamReadConstraints.builder()
                                            .maxNestingDepth(MAX_NESTING_DEPTH)
                                            .maxNumberLength(MAX_NUMBER_LENGTH)
                                            .build())
                            .build());
    private static final int MAX_RESPONSE_BYTES = 8 << 20;

    private final HttpClient client;
    private final HostAddress address;
    private final Duration timeout;
    private final Map<String, String> headers;

    /** Creates a client of the service at an address; the timeout applies to each request. */
    public JsonHttpClient(HttpClient client, HostAddress address, Duration timeout) {
        this(client, address, timeout, Map.of());
    }

    private JsonHttpClient(
            HttpClient client, HostAddress address, Duration timeout, Map<String, String> headers) {
        this.client = client;
        this.address = address;
        this.timeout = timeout;
        this.headers = Map.copyOf(headers);
    }

    /** Returns a copy that sends these headers, instead of the present ones, with each request. */
    public JsonHttpClient withHeaders(Map<String, String> newHeaders) {
        return new JsonHttpClient(client, address, timeout, newHeaders);
    }

    /** Returns an empty JSON object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /**
     * Parses JSON; returns a {@link MissingNode} if the text is not valid JSON, is nested more than
     * 100 levels deep or has a number of more than 100 characters.
     */
    public static JsonNode parseJson(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Sends a POST request with a JSON body. */
    public CompletableFuture<JsonResponse> post(String path, JsonNode body) {
        StringRequestContent content =
                new StringRequestContent(
                        "application/json", body.toString(), StandardCharsets.UTF_8);
        return send(newRequest(path).method(HttpMethod.POST).body(content));
    }

    /** Sends a GET request. */
    public CompletableFuture<JsonResponse> fetch(String path) {
        return send(newRequest(path).method(HttpMethod.GET));
    }

    private Request newRequest(String path) {
        Request request = client.newRequest("http://" + address + path);
        headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
        return request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<JsonResponse> send(Request request) {
        return new CompletableResponseListener(request, MAX_RESPONSE_BYTES)
                .send()
                .thenApply(JsonHttpClient::toResponse);
    }

    private static JsonResponse toResponse(ContentResponse response) {
        return new JsonResponse(
                response.getStatus(),
                response.getHeaders().asImmutable(),
                parseJson(response.getContentAsString()));
    }
}
