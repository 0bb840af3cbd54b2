package org.wigeonferry.platform_clients;

import com.fasterxml.jackson.core.JsonProcessingException;
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
 * Calls a service that speaks JSON over HTTP.
 *
 * <p>Every call is sent once. The futures fail when no answer came in time. Immutable and thread
 * safe.
 */
public final class JsonHttpClient {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_REPLY_BYTES = 8 << 20;

    private final HttpClient client;
    private final HostAddress address;
    private final Duration timeout;
    private final Map<String, String> headers;

    /** Calls the service at an address; each call gives up after the timeout. */
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

    /** The same calls with these headers on each. */
    public JsonHttpClient withHeaders(Map<String, String> value) {
        return new JsonHttpClient(client, address, timeout, value);
    }

    /** A new JSON object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Parses JSON; a missing node if the text isn't JSON. */
    public static JsonNode parseJson(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JsonProcessingException e) {
            return MissingNode.getInstance();
        }
    }

    /** Sends a JSON body. */
    public CompletableFuture<JsonResponse> post(String path, JsonNode body) {
        StringRequestContent content =
                new StringRequestContent(
                        "application/json", body.toString(), StandardCharsets.UTF_8);
        return send(request(path).method(HttpMethod.POST).body(content));
    }

    /** Asks without a body. */
    public CompletableFuture<JsonResponse> fetch(String path) {
        return send(request(path).method(HttpMethod.GET));
    }

    private Request request(String path) {
        Request request = client.newRequest("http://" + address + path);
        headers.forEach((name, value) -> request.headers(fields -> fields.put(name, value)));
        return request.timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static CompletableFuture<JsonResponse> send(Request request) {
        return new CompletableResponseListener(request, MAX_REPLY_BYTES)
                .send()
                .thenApply(JsonHttpClient::toReply);
    }

    private static JsonResponse toReply(ContentResponse response) {
        return new JsonResponse(response.getStatus(), parseJson(response.getContentAsString()));
    }
}
