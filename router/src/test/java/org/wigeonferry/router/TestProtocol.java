package org.wigeonferry.router;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.wigeonferry.routing.RoutedRequest;
import org.wigeonferry.routing.UpstreamAnnouncement;

/**
 * A wire protocol for tests: the headers Id, Stamp, Not-Run, Leaving, Retry-After, Limit,
 * Confidence, Model and Last-Event-Id.
 */
final class TestProtocol {
    private static final Set<String> NOT_FORWARDED_FIELDS =
            Set.of("connection", "content-length", "transfer-encoding");

    private TestProtocol() {}

    static WireProtocol protocol() {
        return new WireProtocol(
                TestProtocol::decode,
                (caller, send, timeLeft, resumeAfter) -> {
                    HttpFields.Mutable fields = HttpFields.build(forwardedFields(caller));
                    send.model().ifPresent(model -> fields.put("Model", model));
                    resumeAfter.ifPresent(id -> fields.put("Last-Event-Id", id));
                    return fields;
                },
                (status, fields) ->
                        new ResponseHead(
                                status,
                                Optional.ofNullable(fields.get("Id")),
                                fields.contains("Stamp"),
                                fields.contains("Not-Run"),
                                status == 421,
                                fields.contains("Content-Encoding"),
                                Optional.ofNullable(fields.get("Confidence"))
                                        .map(Integer::parseInt),
                                Optional.empty(),
                                new UpstreamAnnouncement(
                                        fields.contains("Leaving"),
                                        Optional.ofNullable(fields.get("Retry-After"))
                                                .map(Long::parseLong)
                                                .map(Duration::ofSeconds),
                                        fields.contains("Limit")
                                                ? OptionalDouble.of(
                                                        Double.parseDouble(fields.get("Limit")))
                                                : OptionalDouble.empty()),
                                forwardedFields(fields)));
    }

    private static HttpFields forwardedFields(HttpFields fields) {
        HttpFields.Mutable kept = HttpFields.build();
        for (HttpField field : fields) {
            if (!NOT_FORWARDED_FIELDS.contains(field.getName().toLowerCase(Locale.ROOT))) {
                kept.add(field);
            }
        }
        return kept;
    }

    private static Optional<RoutedRequest> decode(Request request) {
        return Optional.ofNullable(request.getHeaders().get("Id"))
                .map(
                        id ->
                                new RoutedRequest(
                                        id,
                                        "example",
                                        request.getHttpURI().getPath(),
                                        Optional.empty(),
                                        Optional.of(Duration.ofSeconds(3)),
                                        Optional.empty(),
                                        Optional.empty(),
                                        List.of(),
                                        0,
                                        0,
                                        Optional.ofNullable(
                                                request.getHeaders().get("Last-Event-Id"))));
    }
}
