package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against a refusal that an upstream wrote for an earlier request being taken as proof that
 * this one did not run.
 */
class ForeignRefusalTest {
    @ParameterizedTest
    @ValueSource(strings = {"429 Too Many Requests", "503 Service Unavailable", "421 Misdirected"})
    void refusalOfAnotherRequestDoesNotProveThatThisOneDidNotRun(String status) throws Exception {
        String refusal =
                "HTTP/1.1 "
                        + status
                        + "\r\nId: earlier\r\nNot-Run: 1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n";
        UpstreamScript script =
                (head, socket) -> {
                    socket.getOutputStream().write(refusal.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                };
        try (ScriptedUpstream first = new ScriptedUpstream(script);
                ScriptedUpstream second = new ScriptedUpstream(script);
                RouterHarness harness = new RouterHarness(List.of(first, second))) {
            assertThat(harness.exchange("POST", "/unsafe/x", "body")).startsWith("HTTP/1.1 502");
            assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
        }
    }
}
