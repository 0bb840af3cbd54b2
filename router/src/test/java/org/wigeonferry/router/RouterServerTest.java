package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

class RouterServerTest {
    private static final String OK_HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final UpstreamScript RESPOND_WITH_GOOD =
            respondWith(OK_HEAD + "Content-Length: 4\r\n\r\ngood");
    private static final UpstreamScript NOT_RUN =
            respondWith("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

    private static UpstreamScript respondWith(String text) {
        return (head, socket) -> write(socket, text);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Writes a text, then closes the connection with a reset. */
    private static UpstreamScript respondThenReset(String text) {
        return (head, socket) -> {
            write(socket, text);
            socket.setSoLinger(true, 0);
        };
    }

    private static String exchange(String method, String path, ScriptedUpstream... upstreams)
            throws Exception {
        try (RouterHarness harness = new RouterHarness(List.of(upstreams))) {
            return harness.exchange(method, path, "hello");
        }
    }

    @Test
    void completeResponseIsForwardedUnchanged() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(RESPOND_WITH_GOOD)) {
            assertThat(exchange("POST", "/unsafe/x?q=%2F1", one))
                    .startsWith("HTTP/1.1 200")
                    .contains("Stamp: s")
                    .endsWith("good");
            assertThat(one.requests().get(0)).startsWith("POST /unsafe/x?q=%2F1 HTTP/1.1");
        }
    }

    @Test
    void responseThatEndsWithItsConnectionIsComplete() throws Exception {
        try (ScriptedUpstream one =
                new ScriptedUpstream(respondWith(OK_HEAD + "\r\nlong enough"))) {
            assertThat(exchange("POST", "/unsafe/x", one)).endsWith("long enough");
        }
    }

    @Test
    void resetResponseWithoutLengthIsIncomplete() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(respondThenReset(OK_HEAD + "\r\nhalf"))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void unsafeRequestWithALostResponseRunsOnceAndIsNotReportedAsNotRun() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(respondThenReset(""));
                ScriptedUpstream two = new ScriptedUpstream(respondThenReset(""))) {
            assertThat(exchange("POST", "/unsafe/x", one, two)).startsWith("HTTP/1.1 502");
            assertThat(one.requests().size() + two.requests().size()).isEqualTo(1);
        }
    }

    @Test
    void safeRequestWithALostResponseIsResentToAnotherUpstream() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(respondThenReset(""));
                ScriptedUpstream two = new ScriptedUpstream(RESPOND_WITH_GOOD)) {
            assertThat(exchange("GET", "/safe/x", one, two)).endsWith("good");
        }
    }

    @Test
    void responseToAnotherRequestIsNotForwarded() throws Exception {
        String wrong = OK_HEAD.replace("id-1", "id-2") + "Content-Length: 4\r\n\r\nbad!";
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(wrong))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void bytesAfterAResponseAreDiscarded() throws Exception {
        String extra =
                OK_HEAD
                        + "Content-Length: 4\r\n\r\ngood"
                        + OK_HEAD
                        + "Content-Length: 3\r\n\r\nbad";
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(extra));
                RouterHarness harness = new RouterHarness(List.of(one));
                Socket socket = harness.connect()) {
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
        }
    }

    @Test
    void malformedResponseYields502() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith("\0\1rubbish\r\n\r\n"))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void encodedResponseYields502() throws Exception {
        String encoded = OK_HEAD + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzip!";
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(encoded))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void serverErrorOfTheUpstreamKeepsItsStatusAndStamp() throws Exception {
        String failed = OK_HEAD.replace("200 OK", "500 Error") + "Content-Length: 3\r\n\r\nerr";
        try (ScriptedUpstream one = new ScriptedUpstream(respondWith(failed))) {
            assertThat(exchange("POST", "/unsafe/x", one))
                    .startsWith("HTTP/1.1 500")
                    .contains("Stamp: s");
            assertThat(one.requests()).hasSize(1);
        }
    }

    @Test
    void requestThatDidNotRunIsResentToAnotherUpstream() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(NOT_RUN);
                ScriptedUpstream two = new ScriptedUpstream(RESPOND_WITH_GOOD)) {
            assertThat(exchange("POST", "/unsafe/x", one, two)).endsWith("good");
        }
    }

    @Test
    void requestThatNoUpstreamRanIsReportedAsNotRun() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(NOT_RUN);
                ScriptedUpstream two = new ScriptedUpstream(NOT_RUN)) {
            assertThat(exchange("POST", "/unsafe/x", one, two))
                    .startsWith("HTTP/1.1 503")
                    .contains("Retry-After:")
                    .contains("\"not_run\":true");
        }
    }

    @Test
    void brokenStreamIsResumedOnAnotherUpstreamAfterTheLastCompleteEvent() throws Exception {
        String head = OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        String first = "id: 1\ndata: a\n\nid: 2\nda";
        String second = "id: 2\ndata: b\n\n";
        try (ScriptedUpstream one = new ScriptedUpstream(respondThenReset(head + chunk(first)));
                ScriptedUpstream two =
                        new ScriptedUpstream(respondWith(head + chunk(second) + "0\r\n\r\n"))) {
            String response = exchange("POST", "/stream/x", one, two);
            assertThat(response).containsOnlyOnce("data: a").containsOnlyOnce("data: b");
            assertThat(response).endsWith("0\r\n\r\n");
            String resumed = one.requests().isEmpty() ? "" : two.requests().get(0);
            assertThat(resumed).contains("Last-Event-Id: 1");
        }
    }

    @Test
    void streamThatCannotBeResumedDoesNotLookComplete() throws Exception {
        String head = OK_HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        try (ScriptedUpstream one =
                new ScriptedUpstream(respondThenReset(head + chunk("id: 1\ndata: a\n\n")))) {
            assertThat(exchange("POST", "/stream/x", one))
                    .contains("data: a")
                    .doesNotContain("\r\n0\r\n\r\n")
                    .endsWith("<closed>");
        }
    }

    @Test
    void callerDisconnectCancelsTheSend() throws Exception {
        CompletableFuture<Long> connectionClosed = new CompletableFuture<>();
        UpstreamScript stall =
                (head, socket) -> {
                    socket.getInputStream().read();
                    connectionClosed.complete(System.nanoTime());
                };
        try (ScriptedUpstream one = new ScriptedUpstream(stall);
                RouterHarness harness = new RouterHarness(List.of(one))) {
            Socket socket = harness.connect();
            RouterHarness.sendRequest(socket, "POST", "/stream/x", "hello");
            CompletableFuture.supplyAsync(
                            () -> 0, CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS))
                    .get();
            assertThat(one.requests()).hasSize(1);
            long disconnectNanos = System.nanoTime();
            socket.close();
            long detectedAfterNanos = connectionClosed.get(2, TimeUnit.SECONDS) - disconnectNanos;
            assertThat(Duration.ofNanos(detectedAfterNanos)).isLessThan(Duration.ofMillis(500));
        }
    }

    @Test
    void pipelinedRequestIsServedAfterTheFirst() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(RESPOND_WITH_GOOD);
                RouterHarness harness = new RouterHarness(List.of(one));
                Socket socket = harness.connect()) {
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "a");
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "b");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
        }
    }

    @Test
    void responseBeforeTheBodyIsReadIsForwardedOrYields502() throws Exception {
        String early = OK_HEAD.replace("200 OK", "413 Long") + "Content-Length: 3\r\n\r\nbig";
        try (ScriptedUpstream one =
                        new ScriptedUpstream(respondWith(early)).withoutReadingBodies();
                RouterHarness harness = new RouterHarness(List.of(one))) {
            String response = harness.exchange("POST", "/unsafe/x", "x".repeat(10));
            assertThat(response)
                    .satisfiesAnyOf(
                            a -> assertThat(a).startsWith("HTTP/1.1 413").endsWith("big"),
                            a -> assertThat(a).startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void silentUpstreamYieldsATimeoutNotReportedAsNotRun() throws Exception {
        UpstreamScript stall = (head, socket) -> socket.getInputStream().read();
        try (ScriptedUpstream one = new ScriptedUpstream(stall)) {
            long start = System.nanoTime();
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 504");
            assertThat(Duration.ofNanos(System.nanoTime() - start))
                    .isBetween(Duration.ofMillis(2500), Duration.ofMillis(5000));
        }
    }

    @Test
    void unknownPathIsNotFound() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(RESPOND_WITH_GOOD)) {
            assertThat(exchange("GET", "/nowhere/x", one)).startsWith("HTTP/1.1 404");
        }
    }

    @Test
    void stoppingRouterServesNewRequestsAtFirstAndThenRefusesThem() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(RESPOND_WITH_GOOD);
                RouterHarness harness = new RouterHarness(List.of(one))) {
            CompletableFuture<Void> drained =
                    CompletableFuture.runAsync(() -> harness.server().drain(Duration.ofSeconds(7)));
            CompletableFuture.supplyAsync(
                            () -> 0, CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS))
                    .get();
            assertThat(harness.exchange("POST", "/unsafe/x", ""))
                    .contains("Connection: close")
                    .endsWith("good");
            CompletableFuture.supplyAsync(
                            () -> 0, CompletableFuture.delayedExecutor(2700, TimeUnit.MILLISECONDS))
                    .get();
            assertThat(harness.exchange("POST", "/unsafe/x", "")).startsWith("HTTP/1.1 503");
            drained.get(7, TimeUnit.SECONDS);
            assertThat(one.requests()).hasSize(1);
        }
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }
}
