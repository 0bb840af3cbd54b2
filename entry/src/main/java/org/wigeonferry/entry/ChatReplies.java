package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Builds the JSON of chat-completions replies.
 *
 * <p>Immutable and thread safe.
 *
 * @param requestId id of the request, which is also the id of the reply
 * @param versionName name of the version that generated the answer
 */
record ChatReplies(RequestId requestId, String versionName) {
    String contentChunk(String text) {
        ObjectNode json = newReply("chat.completion.chunk");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta").put("content", text);
        return json.toString();
    }

    String finalChunk() {
        ObjectNode json = newReply("chat.completion.chunk");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", "stop");
        return json.toString();
    }

    ObjectNode completion(String text, long tokens) {
        ObjectNode json = newReply("chat.completion");
        ObjectNode choice = json.putArray("choices").addObject().put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", text);
        choice.put("finish_reason", "stop");
        json.putObject("usage").put("completion_tokens", tokens);
        return json;
    }

    private ObjectNode newReply(String objectType) {
        return JsonHttpClient.newObject()
                .put("id", requestId.value())
                .put("object", objectType)
                .put("model", versionName);
    }
}
