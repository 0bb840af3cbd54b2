package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against hedged requests that cost the caller an answer: two answers, a mixed or cut one, a
 * false refusal, a loser that works on, or a request that runs twice although it must not.
 */
class HedgedRequestTest {
    private static final int WARM_UP_REQUESTS = 12;
    private static final UpstreamScript RESET = (head, socket) -> socket.setSoLinger(true, 0);

    /** The first upstream is in the router's zone, and gets the first send. */
    private static RouterHarness harness(HedgeableUpstream first, HedgeableUpstream second)
            throws Exception {
        RouterHarness harness =
                new RouterHarness(
                        List.of(first.upstream(), second.upstream()), RoutingStates.withHedging(1));
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            harness.exchange("GET", "/safe/" + HedgeableUpstream.WARM_UP, "");
        }
        return harness;
    }

    private static HedgeableUpstream answering(String text) throws IOException {
        return new HedgeableUpstream((head, socket) -> HedgeableUpstream.write(socket, text));
    }

    @Test
    void hedgeThatAnswersFirstWinsAndTheLosersConnectionIsClosed() throws Exception {
        try (HedgeableUpstream slow = HedgeableUpstream.silent();
                HedgeableUpstream quick = answering(HedgeableUpstream.text("good"));
                RouterHarness harness = harness(slow, quick)) {
            assertThat(harness.exchange("GET", "/safe/x", ""))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("good");
            assertThat(slow.isClosedByRouter()).isTrue();
            assertThat(slow.requests()).isEqualTo(1);
            assertThat(quick.requests()).isEqualTo(1);
            assertThat(harness.count("hedged_sends")).isEqualTo(1);
            assertThat(harness.count("hedged_sends_won")).isEqualTo(1);
            assertThat(harness.count("sends_superseded")).isEqualTo(1);
        }
    }

    @Test
    void firstSendThatAnswersAfterTheHedgeStartedWins() throws Exception {
        try (HedgeableUpstream other = HedgeableUpstream.silent();
                HedgeableUpstream late =
                        new HedgeableUpstream(
                                (head, socket) -> {
                                    other.awaitRequest();
                                    HedgeableUpstream.write(socket, HedgeableUpstream.text("late"));
                                });
                RouterHarness harness = harness(late, other)) {
            assertThat(harness.exchange("GET", "/safe/x", "")).endsWith("late");
            assertThat(other.isClosedByRouter()).isTrue();
            assertThat(harness.count("hedged_sends_won")).isZero();
        }
    }

    @Test
    void answersAtTheSameMomentReachTheCallerAsOne() throws Exception {
        for (String path : List.of("/safe/x", "/stream/x")) {
            for (int i = 0; i < 5; i++) {
                CyclicBarrier both = new CyclicBarrier(2);
                try (HedgeableUpstream first = answeringTogether(both, "a");
                        HedgeableUpstream second = answeringTogether(both, "b");
                        RouterHarness harness = harness(first, second)) {
                    String response = harness.exchange("GET", path, "");
                    assertThat(response).startsWith("HTTP/1.1 200");
                    assertThat(response.contains("data: a1") ^ response.contains("data: b1"))
                            .as(response)
                            .isTrue();
                    String winner = response.contains("data: a1") ? "a" : "b";
                    assertThat(response)
                            .containsSubsequence("data: " + winner + "1", "data: " + winner + "2");
                    assertThat(harness.count("hedged_sends")).isEqualTo(1);
                }
            }
        }
    }

    private static HedgeableUpstream answeringTogether(CyclicBarrier both, String name)
            throws IOException {
        String body = "id: 1\ndata: " + name + "1\n\nid: 2\ndata: " + name + "2\n\n";
        return new HedgeableUpstream(
                (head, socket) -> {
                    try {
                        both.await(5, TimeUnit.SECONDS);
                    } catch (Exception e) {
                        throw new IOException(e);
                    }
                    HedgeableUpstream.write(socket, HedgeableUpstream.text(body));
                });
    }

    @Test
    void streamOfTheWinnerIsCompleteAndInOrderWhileTheLoserBeginsToo() throws Exception {
        CountDownLatch begun = new CountDownLatch(1);
        try (HedgeableUpstream slow =
                        new HedgeableUpstream(
                                (head, socket) -> {
                                    await(begun);
                                    HedgeableUpstream.write(
                                            socket, HedgeableUpstream.HEAD + "\r\ndata: other\n\n");
                                });
                HedgeableUpstream quick =
                        new HedgeableUpstream(
                                (head, socket) -> {
                                    HedgeableUpstream.write(
                                            socket, HedgeableUpstream.HEAD + "\r\n");
                                    for (int i = 0; i < 50; i++) {
                                        HedgeableUpstream.write(
                                                socket, "id: " + i + "\ndata: e" + i + "\n\n");
                                        begun.countDown();
                                    }
                                    socket.shutdownOutput();
                                });
                RouterHarness harness = harness(slow, quick)) {
            String response = harness.exchange("GET", "/stream/x", "");
            StringBuilder events = new StringBuilder();
            for (int i = 0; i < 50; i++) {
                events.append("id: ").append(i).append("\ndata: e").append(i).append("\n\n");
            }
            String body = response.replaceAll("(?m)^[0-9A-Fa-f]+\r\n|\r\n", "");
            assertThat(body).contains(events).doesNotContain("other");
            assertThat(response).endsWith("\r\n0\r\n\r\n");
            assertThat(slow.isClosedByRouter()).isTrue();
        }
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void bothSendsFailAsOneWould() throws Exception {
        HedgeableUpstream[] second = new HedgeableUpstream[1];
        UpstreamScript resetLater =
                (head, socket) -> {
                    second[0].awaitRequest();
                    socket.setSoLinger(true, 0);
                    socket.close();
                };
        try (HedgeableUpstream other =
                        new HedgeableUpstream(
                                (head, socket) -> {
                                    RESET.answer(head, socket);
                                    socket.close();
                                });
                HedgeableUpstream first = new HedgeableUpstream(resetLater)) {
            second[0] = other;
            try (RouterHarness harness = harness(first, other)) {
                assertThat(harness.exchange("GET", "/safe/x", ""))
                        .startsWith("HTTP/1.1 502")
                        .contains("\"not_run\":false");
                assertThat(first.requests()).isEqualTo(1);
                assertThat(other.requests()).isEqualTo(1);
            }
        }
    }

    @Test
    void hedgeThatIsRefusedByItsUpstreamLeavesTheFirstSendOpen() throws Exception {
        String notRun = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        try (HedgeableUpstream full = answering(notRun);
                HedgeableUpstream late =
                        new HedgeableUpstream(
                                (head, socket) -> {
                                    full.awaitClose();
                                    HedgeableUpstream.write(socket, HedgeableUpstream.text("late"));
                                });
                RouterHarness harness = harness(late, full)) {
            assertThat(harness.exchange("GET", "/safe/x", "")).endsWith("late");
            assertThat(full.requests()).isEqualTo(1);
        }
    }

    @Test
    void lowConfidenceOfTheHedgeAsksTheLargeModelAndCancelsTheFirstSend() throws Exception {
        UpstreamScript byModel =
                (head, socket) ->
                        HedgeableUpstream.write(
                                socket,
                                head.contains("Model: large")
                                        ? HedgeableUpstream.text("data: large\n\n")
                                        : HedgeableUpstream.text("data: small\n\n")
                                                .replace("Stamp", "Confidence: 10\r\nStamp"));
        try (HedgeableUpstream slow = HedgeableUpstream.silent();
                HedgeableUpstream quick = new HedgeableUpstream(byModel);
                RouterHarness harness = harness(slow, quick)) {
            for (int i = 0; i < WARM_UP_REQUESTS; i++) {
                harness.exchange("GET", "/models/" + HedgeableUpstream.WARM_UP, "");
            }
            assertThat(harness.exchange("GET", "/models/x", "")).contains("data: large");
            assertThat(slow.isClosedByRouter()).isTrue();
            assertThat(harness.count("sends_doubted")).isEqualTo(1);
            assertThat(harness.count("sends_superseded")).isEqualTo(1);
        }
    }

    @Test
    void unsafeRequestIsNeverHedged() throws Exception {
        try (HedgeableUpstream late =
                        new HedgeableUpstream(
                                (head, socket) -> {
                                    await(new CountDownLatch(1), Duration.ofMillis(1200));
                                    HedgeableUpstream.write(socket, HedgeableUpstream.text("late"));
                                });
                HedgeableUpstream other = answering(HedgeableUpstream.text("other"));
                RouterHarness harness = harness(late, other)) {
            assertThat(harness.exchange("POST", "/unsafe/x", "body")).endsWith("late");
            assertThat(other.requests()).isZero();
            assertThat(harness.count("hedged_sends")).isZero();
        }
    }

    private static void await(CountDownLatch latch, Duration time) throws IOException {
        try {
            latch.await(time.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Test
    void callerThatDisconnectsEndsBothSends() throws Exception {
        try (HedgeableUpstream one = HedgeableUpstream.silent();
                HedgeableUpstream two = HedgeableUpstream.silent();
                RouterHarness harness = harness(one, two)) {
            try (Socket caller = harness.connect()) {
                RouterHarness.sendRequest(caller, "GET", "/safe/x", "");
                two.awaitRequest();
            }
            assertThat(one.isClosedByRouter()).isTrue();
            assertThat(two.isClosedByRouter()).isTrue();
        }
    }

    @Test
    void deadlineWithTwoSendsOpenPromisesNothing() throws Exception {
        try (HedgeableUpstream one = HedgeableUpstream.silent();
                HedgeableUpstream two = HedgeableUpstream.silent();
                RouterHarness harness = harness(one, two)) {
            assertThat(harness.exchange("GET", "/safe/x", ""))
                    .startsWith("HTTP/1.1 50")
                    .contains("\"not_run\":false");
            assertThat(one.isClosedByRouter()).isTrue();
            assertThat(two.isClosedByRouter()).isTrue();
        }
    }

    @Test
    void plannedStopWithTwoSendsOpenPromisesNothing() throws Exception {
        try (HedgeableUpstream one = HedgeableUpstream.silent();
                HedgeableUpstream two = HedgeableUpstream.silent();
                RouterHarness harness = harness(one, two);
                Socket caller = harness.connect()) {
            RouterHarness.sendRequest(caller, "GET", "/safe/x", "");
            two.awaitRequest();
            harness.server().drain(Duration.ofMillis(500));
            assertThat(RouterHarness.readResponse(caller))
                    .startsWith("HTTP/1.1 502")
                    .contains("\"not_run\":false");
            assertThat(one.isClosedByRouter()).isTrue();
            assertThat(two.isClosedByRouter()).isTrue();
        }
    }
}
