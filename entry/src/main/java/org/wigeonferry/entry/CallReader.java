package org.wigeonferry.entry;

import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.node_runtime.Secrets;

/**
 * Reads the headers that chat requests and service calls have in common.
 *
 * <p>Throws {@link IllegalArgumentException} if a header is malformed. Immutable and thread safe.
 */
final class CallReader {
    private static final String DEFAULT_REQUEST_CLASS = "default";
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 100;

    private final Duration defaultTimeLimit;

    CallReader(Duration defaultTimeLimit) {
        this.defaultTimeLimit = defaultTimeLimit;
    }

    Call read(AuthenticatedRequest authenticated, Optional<String> requestClassName) {
        Request request = authenticated.request();
        RequestClassId requestClass =
                new RequestClassId(
                        header(request, Headers.REQUEST_CLASS)
                                .or(() -> requestClassName)
                                .orElse(DEFAULT_REQUEST_CLASS));
        Optional<String> key = header(request, Headers.IDEMPOTENCY_KEY);
        if (key.filter(k -> k.length() > MAX_IDEMPOTENCY_KEY_LENGTH).isPresent()) {
            throw new IllegalArgumentException(
                    "idempotency key longer than " + MAX_IDEMPOTENCY_KEY_LENGTH);
        }
        // An idempotency key must have the form of a request id, since it becomes one for billing.
        key.ifPresent(RequestId::new);
        RequestId id =
                new RequestId(
                        header(request, Headers.REQUEST_ID)
                                .orElseGet(() -> UUID.randomUUID().toString()));
        Duration timeLimit =
                authenticated
                        .catalog()
                        .requestClass(requestClass)
                        .map(RequestClass::timeLimit)
                        .orElse(defaultTimeLimit);
        return new Call(
                authenticated.account(),
                id,
                requestClass,
                timeLimit,
                System.nanoTime(),
                requestDigest(authenticated),
                authenticated.body(),
                key);
    }

    private static Optional<String> header(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    private static String requestDigest(AuthenticatedRequest authenticated) {
        String accountAndTarget =
                authenticated.account().id()
                        + " "
                        + authenticated.request().getHttpURI().getPathQuery()
                        + " ";
        String bodyDigest = HexFormat.of().formatHex(Secrets.sha256(authenticated.body()));
        return Secrets.saltedDigest(accountAndTarget, bodyDigest);
    }
}
