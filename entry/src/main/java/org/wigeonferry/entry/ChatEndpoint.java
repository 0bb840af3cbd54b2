package org.wigeonferry.entry;

import java.util.Optional;
import java.util.function.Predicate;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.node_runtime.Endpoint;
import org.wigeonferry.node_runtime.Replies;

/**
 * Serves {@code POST /v1/chat/completions}.
 *
 * <p>Thread safe.
 */
final class ChatEndpoint {
    private final EntryRuntime runtime;
    private final CallReader reader;

    ChatEndpoint(EntryRuntime runtime, CallReader reader) {
        this.runtime = runtime;
        this.reader = reader;
    }

    /** The endpoint, behind the check of the account's key. */
    Endpoint endpoint() {
        return AuthenticatedEndpoint.of(runtime.state().controlState(), this::serve);
    }

    private void serve(AuthenticatedRequest call) {
        Optional<ChatRequest> chat = ChatRequest.parse(call.body());
        if (chat.isEmpty()) {
            throw new IllegalArgumentException("expected model and messages with text content");
        }
        Optional<String> className = Optional.of(chat.get().model()).filter(namesClass(call));
        Call read = reader.read(call, className);
        ChatCall chatCall =
                new ChatCall(
                        read,
                        chat.get(),
                        session(call.request(), call.account()),
                        runtime,
                        call.response(),
                        call.callback());
        CallAdmission.admit(
                read,
                runtime,
                chatCall::start,
                error -> Replies.sendError(call.response(), call.callback(), error));
    }

    private static Predicate<String> namesClass(AuthenticatedRequest call) {
        return name ->
                call.catalog().requestClasses().keySet().stream()
                        .anyMatch(type -> type.value().equals(name));
    }

    private Optional<VersionId> session(Request request, ClientAccount account) {
        String token = request.getHeaders().get(Headers.SESSION_ID);
        if (token == null) {
            return Optional.empty();
        }
        Optional<VersionId> version = runtime.sessions().verifiedVersion(account.id(), token);
        if (version.isEmpty()) {
            throw new IllegalArgumentException("session id was not issued to this account");
        }
        return version;
    }
}
