package org.wigeonferry.agent;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.decisions.StartRow;
import org.wigeonferry.decisions.StartState;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Converts the rows that record the start of a call, see {@link StartRow}, from and to JSON.
 *
 * <p>Stateless and thread safe.
 */
final class StartRows {
    private StartRows() {}

    static String rowKey(StartOrder order) {
        return "start/"
                + order.account()
                + "/"
                + order.service().map(Object::toString).orElse("")
                + "/"
                + order.idempotencyKey().orElse("");
    }

    static String toJson(StartRow row) {
        ObjectNode json = JsonHttpClient.newObject();
        json.put("digest", row.digest()).put("token", row.attemptToken());
        json.put("state", row.state().name());
        row.result().ifPresent(result -> json.put("result", result));
        return json.toString();
    }

    static StartRow fromJson(String text) {
        JsonNode json = JsonHttpClient.parseJson(text);
        return new StartRow(
                json.path("digest").asText(),
                json.path("token").asText(),
                StartState.valueOf(json.path("state").asText()),
                Optional.ofNullable(json.get("result")).map(JsonNode::asText));
    }
}
