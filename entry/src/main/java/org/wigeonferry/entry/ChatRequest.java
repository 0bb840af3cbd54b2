package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * The fields of a chat-completions request that routing and rating need.
 *
 * <p>Immutable and thread safe.
 *
 * @param model name of a model, a version or a request class; with {@code auto} the entry chooses
 *     the version
 * @param stream whether the caller wants the answer streamed
 * @param prompt contents of all messages without their roles, each followed by a newline
 */
record ChatRequest(String model, boolean stream, String prompt) {
    /** Model name with which the caller leaves the choice of the version to the entry. */
    static final String AUTO_MODEL = "auto";

    /** Parses a body; empty if it is not a chat-completions request with text content. */
    static Optional<ChatRequest> parse(byte[] body) {
        JsonNode json = JsonHttpClient.parseJson(new String(body, StandardCharsets.UTF_8));
        JsonNode messages = json.path("messages");
        if (!json.path("model").isTextual() || !messages.isArray() || messages.isEmpty()) {
            return Optional.empty();
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("content").isTextual()) {
                return Optional.empty();
            }
            prompt.append(message.path("content").asText()).append('\n');
        }
        return Optional.of(
                new ChatRequest(
                        json.path("model").asText(),
                        json.path("stream").asBoolean(false),
                        prompt.toString()));
    }
}
