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
 * Reads what all calls have in common.
 *
 * <p>Throws {@link IllegalArgumentException} on a malformed header. Immutable and thread safe.
 */
final class CallReader {
    private static final String DEFAULT_CLASS = "default";
    private static final int MAX_KEY_LENGTH = 100;

    private final Duration defaultDeadline;

    CallReader(Duration defaultDeadline) {
        this.defaultDeadline = defaultDeadline;
    }

    Call read(AuthenticatedRequest call, Optional<String> className) {
        Request request = call.request();
        RequestClassId type =
                new RequestClassId(
                        header(request, Headers.REQUEST_CLASS)
                                .or(() -> className)
                                .orElse(DEFAULT_CLASS));
        Optional<String> key = header(request, Headers.IDEMPOTENCY_KEY);
        if (key.filter(k -> k.length() > MAX_KEY_LENGTH).isPresent()) {
            throw new IllegalArgumentException("idempotency key longer than " + MAX_KEY_LENGTH);
        }
        key.ifPresent(RequestId::new);
        RequestId id =
                new RequestId(
                        header(request, Headers.REQUEST_ID)
                                .orElseGet(() -> UUID.randomUUID().toString()));
        Duration deadline =
                call.catalog()
                        .requestClass(type)
                        .map(RequestClass::timeLimit)
                        .orElse(defaultDeadline);
        return new Call(
                call.account(),
                id,
                type,
                deadline,
                System.nanoTime(),
                digest(call),
                call.body(),
                key);
    }

    private static Optional<String> header(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().get(name));
    }

    private static String digest(AuthenticatedRequest call) {
        String target =
                call.account().id() + " " + call.request().getHttpURI().getPathQuery() + " ";
        String bodyDigest = HexFormat.of().formatHex(Secrets.sha256(call.body()));
        return Secrets.saltedDigest(target, bodyDigest);
    }
}
