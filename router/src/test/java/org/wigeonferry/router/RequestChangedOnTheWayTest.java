package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against requests that reach an upstream with another target or another caller's session.
 */
class RequestChangedOnTheWayTest {
    private static final String OK_HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final List<String> PIECES =
            List.of(
                    "a", "/", "//", "%2F", "%2f", ";", ";p=1", ":", "@", "..", ".", "?", "&", "=",
                    "%25", "%C3%A9", "+", "~", "!", "$", "'", "(", "*", ",", "a:1", "[", "]", "|",
                    "{", "^", "\"", "\\", "#", "%", "%zz", "é");
    private static final int RANDOM_TARGETS = 300;

    private static UpstreamScript respondWith(String text) {
        return (head, socket) -> {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        };
    }

    private static String exchange(RouterHarness harness, String target) throws IOException {
        try (Socket caller = harness.connect()) {
            RouterHarness.sendRequest(caller, "GET", target, "");
            return RouterHarness.readResponse(caller);
        }
    }

    /** The request goes on with its target byte for byte, or not at all. */
    private static void assertUnchanged(
            ScriptedUpstream upstream, RouterHarness harness, String target) throws IOException {
        int before = upstream.requests().size();
        String response = exchange(harness, target);
        if (response.startsWith("HTTP/1.1 200")) {
            assertThat(upstream.requests().get(before))
                    .startsWith("GET " + target + " HTTP/1.1\r\n");
        } else {
            assertThat(response).as(target).startsWith("HTTP/1.1 40");
            assertThat(upstream.requests()).as(target).hasSize(before);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "/safe//a/b",
                "//safe/a",
                "//a/b?c=d",
                "//a:1/b",
                "//user@host/b",
                "///a",
                "/safe/a?",
                "/safe/a?b?c",
                "/safe/%2F/..;/a",
                "/safe/a;b=c?d=%26",
                "/safe/:80/a",
                "/safe/a?//b"
            })
    void targetGoesOnUnchanged(String target) throws Exception {
        try (ScriptedUpstream upstream =
                        new ScriptedUpstream(respondWith(OK_HEAD + "Content-Length: 0\r\n\r\n"));
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            assertUnchanged(upstream, harness, target);
            assertThat(upstream.requests()).hasSize(1);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void randomTargetGoesOnUnchangedOrNotAtAll(long seed) throws Exception {
        Random random = new Random(seed);
        try (ScriptedUpstream upstream =
                        new ScriptedUpstream(respondWith(OK_HEAD + "Content-Length: 0\r\n\r\n"));
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            for (int i = 0; i < RANDOM_TARGETS; i++) {
                StringBuilder target = new StringBuilder(random.nextBoolean() ? "/safe/" : "//");
                for (int piece = random.nextInt(6); piece >= 0; piece--) {
                    target.append(PIECES.get(random.nextInt(PIECES.size())));
                }
                assertUnchanged(upstream, harness, target.toString());
            }
        }
    }
}
