package org.wigeonferry.entry;

import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClassId;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.node_runtime.Bodies;
import org.wigeonferry.node_runtime.Replies;

/**
 * Serves {@code POST /v1/chat/completions}.
 *
 * <p>Thread safe.
 */
final class ChatEndpoint {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final EntryRuntime runtime;
    private final CallReader reader;

    ChatEndpoint(EntryRuntime runtime, CallReader reader) {
        this.runtime = runtime;
        this.reader = reader;
    }

    void serve(Request request, Response response, Callback callback) {
        Catalog catalog = runtime.state().shared().catalog();
        Optional<ClientAccount> account = Authenticator.account(request, catalog);
        if (account.isEmpty()) {
            Replies.error(response, callback, Errors.unauthorized());
            return;
        }
        Bodies.read(request, MAX_BODY_BYTES)
                .whenComplete(
                        (body, failure) -> {
                            if (failure != null) {
                                Replies.error(
                                        response,
                                        callback,
                                        Errors.badRequest(failure.getMessage()));
                                return;
                            }
                            onBody(request, account.get(), catalog, body, response, callback);
                        });
    }

    private void onBody(
            Request request,
            ClientAccount account,
            Catalog catalog,
            byte[] body,
            Response response,
            Callback callback) {
        Optional<ChatRequest> chat = ChatRequest.parse(body);
        if (chat.isEmpty()) {
            Replies.error(
                    response,
                    callback,
                    Errors.badRequest("expected model and messages with text content"));
            return;
        }
        try {
            Optional<String> className =
                    Optional.of(chat.get().model())
                            .filter(name -> catalog.classes().containsKey(new ClassId(name)));
            Call call = reader.read(request, account, catalog, className, body);
            Optional<VersionId> session = session(request, account);
            ChatCall chatCall =
                    new ChatCall(call, chat.get(), session, runtime, response, callback);
            CallAdmission.enter(
                    call,
                    runtime,
                    chatCall::begin,
                    error -> Replies.error(response, callback, error));
        } catch (IllegalArgumentException e) {
            Replies.error(response, callback, Errors.badRequest(e.getMessage()));
        }
    }

    private Optional<VersionId> session(Request request, ClientAccount account) {
        String token = request.getHeaders().get(Headers.SESSION);
        if (token == null) {
            return Optional.empty();
        }
        Optional<VersionId> version = runtime.sessions().version(account.id(), token);
        if (version.isEmpty()) {
            throw new IllegalArgumentException("session id was not issued to this account");
        }
        return version;
    }
}
