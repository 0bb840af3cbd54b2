package org.wigeonferry.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.platform_clients.JsonHttpClient;

/**
 * Serves {@code GET /v1/models}, which lists the model versions that the account may use.
 *
 * <p>Thread safe.
 */
final class ModelsEndpoint {
    private static final int OK = 200;

    private final ControlState state;

    ModelsEndpoint(ControlState state) {
        this.state = state;
    }

    void serve(Request request, Response response, Callback callback) {
        Catalog catalog = state.catalog();
        Optional<ClientAccount> account = Authenticator.authenticate(request, catalog);
        if (account.isEmpty()) {
            Replies.sendError(response, callback, ApiErrors.unauthorized());
            return;
        }
        ObjectNode json = JsonHttpClient.newObject().put("object", "list");
        ArrayNode data = json.putArray("data");
        account.get().versions().stream()
                .flatMap(id -> catalog.version(id).stream())
                .filter(version -> !version.withdrawn())
                .map(ModelVersion::id)
                .sorted((a, b) -> a.value().compareTo(b.value()))
                .forEach(id -> data.addObject().put("id", id.value()).put("object", "model"));
        Replies.sendJson(response, callback, OK, json);
    }
}
