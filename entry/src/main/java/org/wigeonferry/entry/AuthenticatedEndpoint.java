package org.wigeonferry.entry;

import java.util.Optional;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.node_runtime.ControlState;
import org.wigeonferry.node_runtime.Endpoint;
import org.wigeonferry.node_runtime.Replies;
import org.wigeonferry.node_runtime.RequestBodies;

/**
 * Authenticates a client account and reads a bounded body, before anything else is done.
 *
 * <p>A malformed header or body, told by {@link IllegalArgumentException}, is a bad request:
 * nothing was run. Stateless and thread safe.
 */
final class AuthenticatedEndpoint {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private AuthenticatedEndpoint() {}

    static Endpoint of(ControlState state, Consumer<AuthenticatedRequest> handler) {
        return (request, response, callback) -> {
            Catalog catalog = state.catalog();
            Optional<ClientAccount> account = Authenticator.authenticate(request, catalog);
            if (account.isEmpty()) {
                Replies.sendError(response, callback, ApiErrors.unauthorized());
                return;
            }
            RequestBodies.read(request, MAX_BODY_BYTES)
                    .whenComplete(
                            (body, failure) -> {
                                if (failure != null) {
                                    bad(response, callback, failure);
                                    return;
                                }
                                handle(
                                        new AuthenticatedRequest(
                                                request,
                                                response,
                                                callback,
                                                account.get(),
                                                catalog,
                                                body),
                                        handler);
                            });
        };
    }

    private static void handle(AuthenticatedRequest call, Consumer<AuthenticatedRequest> handler) {
        try {
            handler.accept(call);
        } catch (IllegalArgumentException e) {
            bad(call.response(), call.callback(), e);
        }
    }

    private static void bad(Response response, Callback callback, Throwable failure) {
        Replies.sendError(
                response, callback, ApiErrors.badRequest(String.valueOf(failure.getMessage())));
    }
}
