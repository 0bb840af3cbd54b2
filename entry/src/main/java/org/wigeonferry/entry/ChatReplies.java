package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.platform_clients.JsonCalls;

/**
 * Writes chat-completions replies.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId the request
 * @param versionName version that answers
 */
record ChatReplies(RequestId requestId, String versionName) {
    String contentChunk(String text) {
        ObjectNode json = base("chat.completion.chunk");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", text);
        return json.toString();
    }

    String finalChunk() {
        ObjectNode json = base("chat.completion.chunk");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", "stop");
        return json.toString();
    }

    ObjectNode completion(String text, long tokens) {
        ObjectNode json = base("chat.completion");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", "stop");
        json.putObject("usage").put("completion_tokens", tokens);
        return json;
    }

    private ObjectNode base(String object) {
        return JsonCalls.object()
                .put("id", requestId.value())
                .put("object", object)
                .put("model", versionName);
    }
}
