package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against a stream that the router gives up and that ends at its caller like a complete one:
 * an answer whose end is the end of its connection, which is then closed without a reset.
 */
class AbortedStreamEndsAsCompleteTest {
    private static final String KEEP_ALIVE = "HTTP/1.1\r\nHost: example\r\n";
    private static final String CLOSE = "HTTP/1.1\r\nHost: example\r\nConnection: close\r\n";
    private static final String OLD_VERSION = "HTTP/1.0\r\nHost: example\r\n";
    private static final String STREAM_HEAD =
            "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Type: text/event-stream\r\n\r\n";
    private static final String EVENT = "id: 1\ndata: a\n\n";

    /** Longer than the route's timeout. */
    private static final Duration FOR_EVER = Duration.ofSeconds(8);

    private static final UpstreamScript ONE_EVENT_THEN_RESET =
            (head, socket) -> {
                write(socket, STREAM_HEAD + EVENT);
                LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
                socket.setSoLinger(true, 0);
            };
    private static final UpstreamScript ONE_EVENT_THEN_SILENCE =
            (head, socket) -> {
                write(socket, STREAM_HEAD + EVENT);
                LockSupport.parkNanos(FOR_EVER.toNanos());
            };
    private static final UpstreamScript COMPLETE_STREAM =
            (head, socket) -> write(socket, STREAM_HEAD + EVENT + "id: 2\ndata: b\n\n");

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static void sendStreamRequest(Socket socket, String versionAndFields)
            throws IOException {
        write(
                socket,
                "POST /stream/x " + versionAndFields + "Id: id-1\r\nContent-Length: 0\r\n\r\n");
    }

    /** What a caller received, and whether its connection was reset. */
    private static String readToTheEnd(Socket socket) {
        StringBuilder text = new StringBuilder();
        try {
            int next = socket.getInputStream().read();
            while (next >= 0) {
                text.append((char) next);
                next = socket.getInputStream().read();
            }
        } catch (IOException e) {
            text.append("<").append(e.getMessage()).append(">");
        }
        return text.toString();
    }

    private static boolean looksComplete(String received) {
        if (received.contains("Transfer-Encoding: chunked")) {
            return received.endsWith("\r\n0\r\n\r\n");
        }
        return !received.endsWith(">");
    }

    private static void assertAborted(String received) {
        assertThat(received).startsWith("HTTP/1.1 200").contains("data: a");
        assertThat(looksComplete(received)).as(received).isFalse();
    }

    private static String exchange(String versionAndFields, UpstreamScript script)
            throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            sendStreamRequest(caller, versionAndFields);
            return readToTheEnd(caller);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {KEEP_ALIVE, CLOSE, OLD_VERSION})
    void streamWhoseUpstreamsBreakOff(String versionAndFields) throws Exception {
        assertAborted(exchange(versionAndFields, ONE_EVENT_THEN_RESET));
    }

    @ParameterizedTest
    @ValueSource(strings = {KEEP_ALIVE, CLOSE, OLD_VERSION})
    void streamThatReachesItsDeadline(String versionAndFields) throws Exception {
        assertAborted(exchange(versionAndFields, ONE_EVENT_THEN_SILENCE));
    }

    /** While the router stops, it closes each connection after its answer. */
    @ParameterizedTest
    @ValueSource(strings = {KEEP_ALIVE, CLOSE, OLD_VERSION})
    void streamThatBreaksOffDuringAPlannedStop(String versionAndFields) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ONE_EVENT_THEN_RESET);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            CompletableFuture<Void> drained =
                    CompletableFuture.runAsync(() -> harness.server().drain(Duration.ofSeconds(5)));
            LockSupport.parkNanos(Duration.ofMillis(200).toNanos());
            sendStreamRequest(caller, versionAndFields);
            assertAborted(readToTheEnd(caller));
            drained.get(10, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {KEEP_ALIVE, CLOSE, OLD_VERSION})
    void streamThatIsUnderWayAtTheEndOfTheProcess(String versionAndFields) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(ONE_EVENT_THEN_SILENCE);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            sendStreamRequest(caller, versionAndFields);
            int first = caller.getInputStream().read();
            LockSupport.parkNanos(Duration.ofMillis(200).toNanos());
            harness.server().stop();
            assertAborted((char) first + readToTheEnd(caller));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {KEEP_ALIVE, CLOSE, OLD_VERSION})
    void completeStreamEndsAsComplete(String versionAndFields) throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(COMPLETE_STREAM);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            sendStreamRequest(caller, versionAndFields);
            // On a kept connection nothing follows the last chunk.
            caller.setSoTimeout(1000);
            String received = readToTheEnd(caller).replace("<Read timed out>", "");
            assertThat(received).contains("data: b");
            assertThat(looksComplete(received)).as(received).isTrue();
        }
    }

    /** The end of a complete stream that its caller has not read yet must not be lost. */
    @ParameterizedTest
    @ValueSource(strings = {CLOSE, OLD_VERSION})
    void completeStreamReachesACallerThatReadsLate(String versionAndFields) throws Exception {
        String large = "id: 1\ndata: " + "a".repeat(900_000) + "\n\n";
        String last = "id: 4\ndata: last\n\n";
        UpstreamScript script =
                (head, socket) -> write(socket, STREAM_HEAD + large + large + large + last);
        try (ScriptedUpstream upstream = new ScriptedUpstream(script);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            sendStreamRequest(caller, versionAndFields);
            LockSupport.parkNanos(Duration.ofMillis(500).toNanos());
            String received = readToTheEnd(caller);
            assertThat(looksComplete(received)).isTrue();
            assertThat(received).contains(last);
        }
    }

    /**
     * A stream without a length or chunks is complete at the end of its connection, not at a reset.
     */
    @Test
    void streamOfAnUpstreamThatIsResetIsNotComplete() throws Exception {
        UpstreamScript twoEventsThenReset =
                (head, socket) -> {
                    write(socket, STREAM_HEAD + EVENT + "id: 2\ndata: b\n\n");
                    socket.setSoLinger(true, 0);
                };
        for (int i = 0; i < 20; i++) {
            assertThat(looksComplete(exchange(CLOSE, twoEventsThenReset))).isFalse();
        }
    }
}
