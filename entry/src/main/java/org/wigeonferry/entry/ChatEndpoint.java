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

    /** The endpoint, which first authenticates the account by its API key. */
    Endpoint endpoint() {
        return AuthenticatedEndpoint.of(runtime.state().controlState(), this::serve);
    }

    private void serve(AuthenticatedRequest authenticated) {
        Optional<ChatRequest> chat = ChatRequest.parse(authenticated.body());
        if (chat.isEmpty()) {
            throw new IllegalArgumentException("expected model and messages with text content");
        }
        Optional<String> requestClassName =
                Optional.of(chat.get().model()).filter(isRequestClassName(authenticated));
        Call parsedCall = reader.read(authenticated, requestClassName);
        ChatCall chatCall =
                new ChatCall(
                        parsedCall,
                        chat.get(),
                        sessionVersion(authenticated.request(), authenticated.account()),
                        runtime,
                        authenticated.response(),
                        authenticated.callback());
        CallAdmission.admit(
                parsedCall,
                runtime,
                chatCall::start,
                error ->
                        Replies.sendError(
                                authenticated.response(), authenticated.callback(), error));
    }

    private static Predicate<String> isRequestClassName(AuthenticatedRequest authenticated) {
        return name ->
                authenticated.catalog().requestClasses().keySet().stream()
                        .anyMatch(requestClass -> requestClass.value().equals(name));
    }

    private Optional<VersionId> sessionVersion(Request request, ClientAccount account) {
        String sessionId = request.getHeaders().get(Headers.SESSION_ID);
        if (sessionId == null) {
            return Optional.empty();
        }
        Optional<VersionId> version = runtime.sessions().verifiedVersion(account.id(), sessionId);
        if (version.isEmpty()) {
            throw new IllegalArgumentException("session id was not issued to this account");
        }
        return version;
    }
}
