package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against upstreams in trouble that send bytes until their connection is closed: an event,
 * body or head without an end that was kept in memory, or that kept the request from moving on.
 */
class EndlessUpstreamTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nStamp: s\r\nId: ";
    private static final String OK_HEAD = HEAD + "id-1\r\n";
    private static final String STREAM_HEAD = OK_HEAD + "Content-Type: text/event-stream\r\n\r\n";
    private static final UpstreamScript GOOD =
            (head, socket) -> write(socket, OK_HEAD + "Content-Length: 4\r\n\r\ngood");
    private static final UpstreamScript GOOD_EVENT =
            (head, socket) -> write(socket, STREAM_HEAD + "id: 2\ndata: b\n\n");

    /** Time in which a request moves on: half of its timeout of 3 s. */
    private static final Duration MOVES_ON = Duration.ofMillis(1500);

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Writes the start once and then a piece again and again until the connection is closed. */
    private static UpstreamScript endless(String start, String piece, Duration pause) {
        return (head, socket) -> {
            write(socket, start);
            while (true) {
                write(socket, piece);
                LockSupport.parkNanos(pause.toNanos());
            }
        };
    }

    private static UpstreamScript flood(String start) {
        return endless(start, "x".repeat(1 << 16), Duration.ZERO);
    }

    private static UpstreamScript drip(String start) {
        return endless(start, "x", Duration.ofMillis(50));
    }

    /** Asks a router whose nearer upstream has this script and whose other one is sound. */
    private static String exchange(String path, UpstreamScript near, UpstreamScript other)
            throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(near);
                ScriptedUpstream two = new ScriptedUpstream(other);
                RouterHarness harness = new RouterHarness(List.of(one, two))) {
            long startNanos = System.nanoTime();
            String response = harness.exchange("GET", path, "");
            assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(MOVES_ON);
            return response;
        }
    }

    @Test
    void endlessBodyOfAnotherRequestsAnswerIsLeftAtItsHead() throws Exception {
        assertThat(exchange("/safe/x", flood(HEAD + "id-2\r\n\r\n"), GOOD)).endsWith("good");
    }

    @Test
    void unsafeRequestWithAnEndlessAnswerToAnotherFailsAtOnce() throws Exception {
        assertThat(exchange("/unsafe/x", flood(HEAD + "id-2\r\n\r\n"), GOOD))
                .startsWith("HTTP/1.1 502");
    }

    @Test
    void endlessBodyOfARefusalThatDidNotRunIsLeftAtItsHead() throws Exception {
        String notRun = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n";
        assertThat(exchange("/unsafe/x", flood(notRun), GOOD)).endsWith("good");
    }

    @Test
    void endlessBodyOfASafeRequestMovesOn() throws Exception {
        assertThat(exchange("/safe/x", flood(OK_HEAD + "\r\n"), GOOD)).endsWith("good");
    }

    @Test
    void endlessHeadFieldMovesOn() throws Exception {
        assertThat(exchange("/safe/x", flood(OK_HEAD + "Long: "), GOOD)).endsWith("good");
    }

    @Test
    void endlessInterimResponsesMoveOn() throws Exception {
        UpstreamScript interim =
                endless("", "HTTP/1.1 103 Early Hints\r\n\r\n", Duration.ofMillis(1));
        assertThat(exchange("/safe/x", interim, GOOD)).endsWith("good");
    }

    @Test
    void drippingHeadMovesOn() throws Exception {
        assertThat(exchange("/safe/x", drip(OK_HEAD + "Long: "), GOOD)).endsWith("good");
    }

    @Test
    void drippingBodyOfASafeRequestMovesOn() throws Exception {
        assertThat(exchange("/safe/x", drip(OK_HEAD + "Content-Length: 999\r\n\r\n"), GOOD))
                .endsWith("good");
    }

    @Test
    void streamThatDripsAnUnfinishedEventIsResumedElsewhere() throws Exception {
        UpstreamScript dripping = drip(STREAM_HEAD + "id: 1\ndata: a\n\nid: 2\ndata: ");
        assertThat(exchange("/stream/x", dripping, GOOD_EVENT))
                .contains("id: 1\ndata: a\n\n")
                .contains("id: 2\ndata: b\n\n")
                .doesNotContain("xx");
    }

    /** The route allows pauses of 400 ms. */
    @Test
    void streamThatPausesAsLongAsItsRouteAllowsIsNotCut() throws Exception {
        UpstreamScript slow =
                (head, socket) -> {
                    write(socket, STREAM_HEAD + "id: 1\ndata: a\n\n");
                    LockSupport.parkNanos(Duration.ofMillis(390).toNanos());
                    write(socket, "id: 2\ndata: slow\n\n");
                };
        assertThat(exchange("/stream/x", slow, GOOD_EVENT)).contains("data: slow");
    }

    @Test
    void manyEndlessEventsAtOnceFailWithoutHoldingMemory() throws Exception {
        int callers = 50;
        ExecutorService threads = Executors.newFixedThreadPool(callers);
        try (ScriptedUpstream one = new ScriptedUpstream(flood(STREAM_HEAD + "id: 1\ndata: "));
                RouterHarness harness = new RouterHarness(List.of(one))) {
            List<CompletableFuture<String>> responses = new ArrayList<>();
            for (int i = 0; i < callers; i++) {
                responses.add(
                        CompletableFuture.supplyAsync(() -> exchangeUnchecked(harness), threads));
            }
            for (CompletableFuture<String> response : responses) {
                assertThat(response.get(6, TimeUnit.SECONDS)).doesNotStartWith("HTTP/1.1 200");
            }
            assertThat(harness.reservedResponseBytes()).isZero();
        } finally {
            threads.shutdownNow();
        }
    }

    private static String exchangeUnchecked(RouterHarness harness) {
        try {
            return harness.exchange("GET", "/stream/x", "");
        } catch (IOException e) {
            return e.toString();
        }
    }
}
