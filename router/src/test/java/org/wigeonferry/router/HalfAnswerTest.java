package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/** Guards against an answer that breaks off and reaches the caller as a complete one. */
class HalfAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 6\r\n\r\nanswer";
    private static final String CHUNKED =
            HEAD + "Transfer-Encoding: chunked\r\n\r\n3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n";
    private static final String TO_THE_END = HEAD + "\r\nanswer";
    private static final String STREAM =
            HEAD + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

    /** Answers with one more byte of the text at each request, and then closes or resets. */
    private static UpstreamScript growing(String text, boolean reset, AtomicInteger length) {
        return (head, socket) -> {
            byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
            socket.getOutputStream().write(bytes, 0, length.get());
            socket.getOutputStream().flush();
            if (reset) {
                socket.setSoLinger(true, 0);
            }
        };
    }

    /**
     * Cuts an answer after each byte.
     *
     * @param completeLength length from which the answer is complete
     */
    private static void assertNoCutIsASuccess(String text, int completeLength, boolean reset)
            throws Exception {
        AtomicInteger length = new AtomicInteger();
        try (ScriptedUpstream upstream = new ScriptedUpstream(growing(text, reset, length));
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            for (int i = 0; i < completeLength; i++) {
                length.set(i);
                assertThat(harness.exchange("POST", "/unsafe/x", "body"))
                        .as("cut after %d bytes", i)
                        .doesNotStartWith("HTTP/1.1 200");
            }
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answerShorterThanItsLengthIsNoSuccess(boolean reset) throws Exception {
        assertNoCutIsASuccess(WITH_LENGTH, WITH_LENGTH.length(), reset);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void answerWithoutItsLastChunkIsNoSuccess(boolean reset) throws Exception {
        // RFC 9112, section 8: complete once the chunk of size zero has been received.
        assertNoCutIsASuccess(CHUNKED, CHUNKED.length() - 2, reset);
    }

    @Test
    void answerWithoutALengthThatIsResetIsNoSuccess() throws Exception {
        assertNoCutIsASuccess(TO_THE_END, TO_THE_END.length(), true);
    }

    /** Without a length, the end of the connection would also be the end of an empty answer. */
    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/safe/x", "/stream/x"})
    void answerThatEndsWithinItsHeadIsNoSuccess(String path) throws Exception {
        AtomicInteger length = new AtomicInteger();
        for (String text : List.of(TO_THE_END, CHUNKED, WITH_LENGTH, STREAM)) {
            try (ScriptedUpstream upstream = new ScriptedUpstream(growing(text, false, length));
                    RouterHarness harness = new RouterHarness(List.of(upstream))) {
                int headLength = text.indexOf("\r\n\r\n") + 4;
                for (int i = 0; i < headLength; i++) {
                    length.set(i);
                    assertThat(harness.exchange("POST", path, "body"))
                            .as("%s, cut after %d bytes of %s", path, i, text)
                            .doesNotStartWith("HTTP/1.1 200");
                }
            }
        }
    }

    /** A second copy that comes late finds its connection closed, not another caller's. */
    @Test
    void lateSecondCopyReachesNobody() throws Exception {
        UpstreamScript twice =
                (head, socket) -> {
                    String own = head.contains("/unsafe/second") ? "second" : "first!";
                    String answer = WITH_LENGTH.replace("answer", own);
                    for (int copy = 0; copy < 3; copy++) {
                        socket.getOutputStream()
                                .write(answer.getBytes(StandardCharsets.ISO_8859_1));
                        socket.getOutputStream().flush();
                    }
                };
        try (ScriptedUpstream upstream = new ScriptedUpstream(twice);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            for (int i = 0; i < 20; i++) {
                RouterHarness.sendRequest(caller, "POST", "/unsafe/first", "body");
                assertThat(RouterHarness.readResponse(caller)).endsWith("first!");
                RouterHarness.sendRequest(caller, "POST", "/unsafe/second", "body");
                assertThat(RouterHarness.readResponse(caller)).endsWith("second");
            }
        }
    }
}
