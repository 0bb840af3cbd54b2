package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against a session that an upstream opens for one caller and that the router sends with the
 * requests of others.
 */
class SessionReachesAnotherCallerTest {
    private static final String ANSWER =
            "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nSet-Cookie: session=a; Path=/\r\n"
                    + "Content-Length: 0\r\n\r\n";
    private static final UpstreamScript OPENS_SESSION =
            (head, socket) -> {
                socket.getOutputStream().write(ANSWER.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            };

    @Test
    void sessionOfAnAnswerIsNotSentWithTheNextRequest() throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(OPENS_SESSION);
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            for (int i = 0; i < 5; i++) {
                try (Socket caller = harness.connect()) {
                    RouterHarness.sendRequest(caller, "GET", "/safe/a", "");
                    assertThat(RouterHarness.readResponse(caller))
                            .contains("Set-Cookie: session=a");
                }
            }
            assertThat(upstream.requests())
                    .hasSize(5)
                    .allMatch(head -> !head.toLowerCase(Locale.ROOT).contains("cookie"));
        }
    }
}
