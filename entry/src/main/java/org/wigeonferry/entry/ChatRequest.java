package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.wigeonferry.platform_clients.JsonCalls;

/**
 * What the router needs to know of a chat-completions request.
 *
 * <p>Immutable and thread safe.
 *
 * @param model model, version or class that the caller names; {@code auto} lets the router choose
 * @param stream whether the caller wants the answer as it comes
 * @param prompt all messages, one a line
 */
record ChatRequest(String model, boolean stream, String prompt) {
    /** Lets the router choose. */
    static final String AUTO_MODEL = "auto";

    /** Reads a body; empty if it isn't a chat-completions request. */
    static Optional<ChatRequest> parse(byte[] body) {
        JsonNode json = JsonCalls.parse(new String(body, StandardCharsets.UTF_8));
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
