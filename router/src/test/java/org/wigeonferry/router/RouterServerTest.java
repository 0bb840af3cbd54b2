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
    private static final String OK = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final UpstreamScript GOOD = say(OK + "Content-Length: 4\r\n\r\ngood");
    private static final UpstreamScript NOT_RUN =
            say("HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

    private static UpstreamScript say(String text) {
        return (head, socket) -> write(socket, text);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Closes with a reset. */
    private static UpstreamScript reset(String before) {
        return (head, socket) -> {
            write(socket, before);
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
    void wholeAnswerIsPassedOnUnchanged() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(GOOD)) {
            assertThat(exchange("POST", "/unsafe/x?q=%2F1", one))
                    .startsWith("HTTP/1.1 200")
                    .contains("Stamp: s")
                    .endsWith("good");
            assertThat(one.requests().get(0)).startsWith("POST /unsafe/x?q=%2F1 HTTP/1.1");
        }
    }

    @Test
    void answerThatEndsWithItsConnectionIsWhole() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(say(OK + "\r\nlong enough"))) {
            assertThat(exchange("POST", "/unsafe/x", one)).endsWith("long enough");
        }
    }

    @Test
    void resetAnswerWithoutLengthIsNotWhole() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(reset(OK + "\r\nhalf"))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void unsafeRequestWithALostAnswerRunsOnceAndPromisesNothing() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(reset(""));
                ScriptedUpstream two = new ScriptedUpstream(reset(""))) {
            assertThat(exchange("POST", "/unsafe/x", one, two)).startsWith("HTTP/1.1 502");
            assertThat(one.requests().size() + two.requests().size()).isEqualTo(1);
        }
    }

    @Test
    void safeRequestWithALostAnswerIsSentElsewhere() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(reset(""));
                ScriptedUpstream two = new ScriptedUpstream(GOOD)) {
            assertThat(exchange("GET", "/safe/x", one, two)).endsWith("good");
        }
    }

    @Test
    void answerToAnotherRequestIsNotPassedOn() throws Exception {
        String wrong = OK.replace("id-1", "id-2") + "Content-Length: 4\r\n\r\nbad!";
        try (ScriptedUpstream one = new ScriptedUpstream(say(wrong))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void bytesAfterAnAnswerBelongToNobody() throws Exception {
        String extra = OK + "Content-Length: 4\r\n\r\ngood" + OK + "Content-Length: 3\r\n\r\nbad";
        try (ScriptedUpstream one = new ScriptedUpstream(say(extra));
                RouterHarness harness = new RouterHarness(List.of(one));
                Socket socket = harness.connect()) {
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
        }
    }

    @Test
    void rubbishIsNoAnswer() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(say("\0\1rubbish\r\n\r\n"))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void encodedBodyIsNotTheUpstreams() throws Exception {
        String encoded = OK + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzip!";
        try (ScriptedUpstream one = new ScriptedUpstream(say(encoded))) {
            assertThat(exchange("POST", "/unsafe/x", one)).startsWith("HTTP/1.1 502");
        }
    }

    @Test
    void failureOfTheUpstreamKeepsItsStatusAndSignature() throws Exception {
        String failed = OK.replace("200 OK", "500 Error") + "Content-Length: 3\r\n\r\nerr";
        try (ScriptedUpstream one = new ScriptedUpstream(say(failed))) {
            assertThat(exchange("POST", "/unsafe/x", one))
                    .startsWith("HTTP/1.1 500")
                    .contains("Stamp: s");
            assertThat(one.requests()).hasSize(1);
        }
    }

    @Test
    void requestThatDidNotRunGoesElsewhereOnce() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(NOT_RUN);
                ScriptedUpstream two = new ScriptedUpstream(GOOD)) {
            assertThat(exchange("POST", "/unsafe/x", one, two)).endsWith("good");
        }
    }

    @Test
    void requestThatNobodyRanIsRefusedTruly() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(NOT_RUN);
                ScriptedUpstream two = new ScriptedUpstream(NOT_RUN)) {
            assertThat(exchange("POST", "/unsafe/x", one, two))
                    .startsWith("HTTP/1.1 503")
                    .contains("Retry-After:")
                    .contains("\"not_run\":true");
        }
    }

    @Test
    void brokenStreamGoesOnElsewhereAfterTheLastWholeEvent() throws Exception {
        String head = OK + "Transfer-Encoding: chunked\r\n\r\n";
        String first = "id: 1\ndata: a\n\nid: 2\nda";
        String second = "id: 2\ndata: b\n\n";
        try (ScriptedUpstream one = new ScriptedUpstream(reset(head + chunk(first)));
                ScriptedUpstream two =
                        new ScriptedUpstream(say(head + chunk(second) + "0\r\n\r\n"))) {
            String answer = exchange("POST", "/stream/x", one, two);
            assertThat(answer).containsOnlyOnce("data: a").containsOnlyOnce("data: b");
            assertThat(answer).endsWith("0\r\n\r\n");
            String resumed = one.requests().isEmpty() ? "" : two.requests().get(0);
            assertThat(resumed).contains("Last-Event-Id: 1");
        }
    }

    @Test
    void streamThatNobodyCanEndDoesNotLookComplete() throws Exception {
        String head = OK + "Transfer-Encoding: chunked\r\n\r\n";
        try (ScriptedUpstream one =
                new ScriptedUpstream(reset(head + chunk("id: 1\ndata: a\n\n")))) {
            assertThat(exchange("POST", "/stream/x", one))
                    .contains("data: a")
                    .doesNotContain("\r\n0\r\n\r\n")
                    .endsWith("<closed>");
        }
    }

    @Test
    void callerThatLeavesEndsTheUpstreamsWork() throws Exception {
        CompletableFuture<Long> closed = new CompletableFuture<>();
        UpstreamScript stall =
                (head, socket) -> {
                    socket.getInputStream().read();
                    closed.complete(System.nanoTime());
                };
        try (ScriptedUpstream one = new ScriptedUpstream(stall);
                RouterHarness harness = new RouterHarness(List.of(one))) {
            Socket socket = harness.connect();
            RouterHarness.sendRequest(socket, "POST", "/stream/x", "hello");
            CompletableFuture.supplyAsync(
                            () -> 0, CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS))
                    .get();
            assertThat(one.requests()).hasSize(1);
            long left = System.nanoTime();
            socket.close();
            long noticed = closed.get(2, TimeUnit.SECONDS) - left;
            assertThat(Duration.ofNanos(noticed)).isLessThan(Duration.ofMillis(500));
        }
    }

    @Test
    void nextRequestThatComesEarlyIsServedAfterThisOne() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(GOOD);
                RouterHarness harness = new RouterHarness(List.of(one));
                Socket socket = harness.connect()) {
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "a");
            RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "b");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
            assertThat(RouterHarness.readResponse(socket)).endsWith("good");
        }
    }

    @Test
    void answerBeforeTheBodyIsReadIsPassedOn() throws Exception {
        String early = OK.replace("200 OK", "413 Long") + "Content-Length: 3\r\n\r\nbig";
        try (ScriptedUpstream one = new ScriptedUpstream(say(early)).withoutReadingBodies();
                RouterHarness harness = new RouterHarness(List.of(one))) {
            String answer = harness.exchange("POST", "/unsafe/x", "x".repeat(10));
            assertThat(answer)
                    .satisfiesAnyOf(
                            a -> assertThat(a).startsWith("HTTP/1.1 413").endsWith("big"),
                            a -> assertThat(a).startsWith("HTTP/1.1 502"));
        }
    }

    @Test
    void silentUpstreamEndsInATimeoutThatPromisesNothing() throws Exception {
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
        try (ScriptedUpstream one = new ScriptedUpstream(GOOD)) {
            assertThat(exchange("GET", "/nowhere/x", one)).startsWith("HTTP/1.1 404");
        }
    }

    @Test
    void stoppingRouterServesWhatComesAndThenRefusesTruly() throws Exception {
        try (ScriptedUpstream one = new ScriptedUpstream(GOOD);
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
