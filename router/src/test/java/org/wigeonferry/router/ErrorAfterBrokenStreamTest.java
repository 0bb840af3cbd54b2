package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against an upstream's error reaching the caller inside a stream that another upstream
 * began and broke off, or ending that stream as if it were complete.
 */
class ErrorAfterBrokenStreamTest {
    private static final String STREAM =
            "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n"
                    + "id: 1\ndata: one\n\nid: 2\ndata: t";

    /** Begins a stream and ends its connection inside an event; a resumed one gets an error. */
    private static UpstreamScript brokenThen(String status) {
        String error =
                "HTTP/1.1 "
                        + status
                        + "\r\nId: id-1\r\nStamp: s\r\nContent-Length: 13\r\n\r\nerror's text!";
        return (head, socket) -> {
            String answer = head.contains("Last-Event-Id") ? error : STREAM;
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        };
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "204 No Content",
                "302 Found",
                "400 Bad Request",
                "404 Not Found",
                "409 Conflict",
                "429 Too Many Requests",
                "500 Internal Server Error",
                "503 Service Unavailable"
            })
    void errorOfTheNextUpstreamStaysOutOfTheStream(String status) throws Exception {
        UpstreamScript script = brokenThen(status);
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                ScriptedUpstream third = new ScriptedUpstream(script);
                RouterHarness harness = new RouterHarness(List.of(first, second, third))) {
            String response = harness.exchange("POST", "/stream/x", "body");
            assertThat(response).contains("data: one").doesNotContain("error's", "data: t");
            assertThat(response).endsWith("<closed>").doesNotContain("\r\n0\r\n\r\n");
        }
    }
}
