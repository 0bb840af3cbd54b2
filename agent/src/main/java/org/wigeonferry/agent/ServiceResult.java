package org.wigeonferry.agent;

import com.fasterxml.jackson.databind.JsonNode;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * HTTP response of a non-model service.
 *
 * <p>Immutable and thread safe.
 *
 * @param status HTTP status
 * @param body response body as text
 */
record ServiceResult(int status, String body) {
    String toJson() {
        return JsonHttpClient.newObject().put("status", status).put("body", body).toString();
    }

    static ServiceResult fromJson(String text) {
        JsonNode json = JsonHttpClient.parseJson(text);
        return new ServiceResult(json.path("status").asInt(), json.path("body").asText());
    }
}
