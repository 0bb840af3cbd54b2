package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/** Guards against a status that is none, such as 000, which reached callers as a response. */
class StatusZeroTest {
    private static final List<String> STATUSES = List.of("000", "001", "099", "600", "999");
    private static final String HEAD = " Broken\r\nId: id-1\r\nStamp: s\r\n";

    private static UpstreamScript respond(String status, String rest, boolean reset) {
        return (head, socket) -> {
            String text = "HTTP/1.1 " + status + HEAD + rest;
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        };
    }

    private static void assertRefused(String path, UpstreamScript script) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            assertThat(harness.exchange("POST", path, "body")).startsWith("HTTP/1.1 502");
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"})
    void statusThatIsNoneReachesNoCaller(String path) throws Exception {
        for (String status : STATUSES) {
            assertRefused(path, respond(status, "Content-Length: 4\r\n\r\nbody", false));
            assertRefused(path, respond(status, "\r\nbody", false));
            assertRefused(path, respond(status, "\r\nbody", true));
            assertRefused(path, respond(status, "\r\nid: 1\ndata: a\n\n", false));
        }
    }

    /** Such a head is not trusted in anything, so the request may have run. */
    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/stream-once/x"})
    void statusThatIsNoneDoesNotProveThatTheRequestDidNotRun(String path) throws Exception {
        assertRefused(path, respond("000", "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false));
    }
}
