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
import org.wigeonferry.node_runtime.ingress.NoRoomException;

/**
 * Wraps a handler of caller requests: authenticates the client account and reads the body, up to a
 * maximum length, before the handler is called.
 *
 * <p>A handler reports a malformed header or body by {@link IllegalArgumentException}. The reply is
 * then a bad-request error, and nothing has been sent to an upstream. Stateless and thread safe.
 */
final class AuthenticatedEndpoint {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private AuthenticatedEndpoint() {}

    /** Returns an endpoint that passes authenticated requests to the handler. */
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
                                if (failure instanceof NoRoomException) {
                                    Replies.sendError(response, callback, ApiErrors.noRoom());
                                    return;
                                }
                                if (failure != null) {
                                    replyBadRequest(response, callback, failure);
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

    private static void handle(
            AuthenticatedRequest authenticated, Consumer<AuthenticatedRequest> handler) {
        try {
            handler.accept(authenticated);
        } catch (IllegalArgumentException e) {
            replyBadRequest(authenticated.response(), authenticated.callback(), e);
        }
    }

    private static void replyBadRequest(Response response, Callback callback, Throwable failure) {
        Replies.sendError(
                response, callback, ApiErrors.badRequest(String.valueOf(failure.getMessage())));
    }
}
