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
    private static final int EVENTS = 50;
    private static final UpstreamScript RESET = (head, socket) -> socket.setSoLinger(true, 0);

    /** The first upstream is in the router's zone, and gets the first send. */
    private static RouterHarness harness(HedgeableUpstream first, HedgeableUpstream second)
            throws Exception {
        RouterHarness harness =
                new RouterHarness(
                        List.of(first.upstream(), second.upstream()), RoutingStates.withHedging(1));
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            harness.exchange("GET", "/patient-safe/" + HedgeableUpstream.WARM_UP, "");
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
            HedgeCounts before = HedgeCounts.of(harness);
            assertThat(harness.exchange("GET", "/patient-safe/x", ""))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("good");
            assertThat(slow.isClosedByRouter()).isTrue();
            assertThat(slow.requests()).isEqualTo(1);
            assertThat(quick.requests()).isEqualTo(1);
            assertThat(HedgeCounts.of(harness).minus(before))
                    .isEqualTo(new HedgeCounts(1, 1, 1, 0));
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
            HedgeCounts before = HedgeCounts.of(harness);
            assertThat(harness.exchange("GET", "/patient-safe/x", "")).endsWith("late");
            assertThat(other.isClosedByRouter()).isTrue();
            assertThat(HedgeCounts.of(harness).minus(before))
                    .isEqualTo(new HedgeCounts(1, 0, 1, 0));
        }
    }

    @Test
    void answersAtTheSameMomentReachTheCallerAsOne() throws Exception {
        for (String path : List.of("/patient-safe/x", "/patient-stream/x")) {
            for (int i = 0; i < 5; i++) {
                CyclicBarrier both = new CyclicBarrier(2);
                try (HedgeableUpstream first = answeringTogether(both, "a");
                        HedgeableUpstream second = answeringTogether(both, "b");
                        RouterHarness harness = harness(first, second)) {
                    HedgeCounts before = HedgeCounts.of(harness);
                    String body = bodyOf(harness.exchange("GET", path, ""));
                    assertThat(body).isIn(events("a"), events("b"));
                    assertThat(HedgeCounts.of(harness).minus(before).hedged()).isEqualTo(1);
                }
            }
        }
    }

    private static String events(String name) {
        StringBuilder events = new StringBuilder();
        for (int i = 0; i < EVENTS; i++) {
            events.append("id: ").append(i).append("\ndata: ").append(name).append("\n\n");
        }
        return events.toString();
    }

    /** The body without the framing of its chunks. */
    private static String bodyOf(String response) {
        assertThat(response).startsWith("HTTP/1.1 200").doesNotEndWith("<closed>");
        String body = response.substring(response.indexOf("\r\n\r\n") + 4);
        return response.contains("Transfer-Encoding: chunked")
                ? body.replaceAll("(?m)^[0-9A-Fa-f]+\r\n|\r\n", "")
                : body;
    }

    private static HedgeableUpstream answeringTogether(CyclicBarrier both, String name)
            throws IOException {
        return new HedgeableUpstream(
                (head, socket) -> {
                    awaitIfSmall(head, both);
                    HedgeableUpstream.write(socket, HedgeableUpstream.text(events(name)));
                });
    }

    @Test
    void streamOfTheWinnerIsCompleteAndInOrder() throws Exception {
        UpstreamScript eventByEvent =
                (head, socket) -> {
                    HedgeableUpstream.write(socket, HedgeableUpstream.HEAD + "\r\n");
                    for (String event : events("a").split("(?<=\n\n)")) {
                        HedgeableUpstream.write(socket, event);
                    }
                    socket.shutdownOutput();
                };
        try (HedgeableUpstream slow = HedgeableUpstream.silent();
                HedgeableUpstream quick = new HedgeableUpstream(eventByEvent);
                RouterHarness harness = harness(slow, quick)) {
            assertThat(bodyOf(harness.exchange("GET", "/patient-stream/x", "")))
                    .isEqualTo(events("a"));
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
                assertThat(harness.exchange("GET", "/patient-safe/x", ""))
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
            assertThat(harness.exchange("GET", "/patient-safe/x", "")).endsWith("late");
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
            HedgeCounts before = HedgeCounts.of(harness);
            assertThat(harness.exchange("GET", "/models/x", "")).contains("data: large");
            assertThat(slow.isClosedByRouter()).isTrue();
            assertThat(HedgeCounts.of(harness).minus(before))
                    .isEqualTo(new HedgeCounts(1, 0, 1, 1));
        }
    }

    /** A stream that has begun is not replaced by the answer of a larger model. */
    @Test
    void lowConfidenceAtTheMomentWhenAStreamBeginsMixesNoAnswers() throws Exception {
        String small = "id: 1\ndata: small1\n\nid: 2\ndata: small2\n\n";
        for (int i = 0; i < 5; i++) {
            CyclicBarrier both = new CyclicBarrier(2);
            try (HedgeableUpstream first =
                            new HedgeableUpstream(
                                    (head, socket) -> {
                                        awaitIfSmall(head, both);
                                        HedgeableUpstream.write(
                                                socket, HedgeableUpstream.text(small));
                                    });
                    HedgeableUpstream second =
                            new HedgeableUpstream(
                                    (head, socket) -> {
                                        awaitIfSmall(head, both);
                                        HedgeableUpstream.write(
                                                socket,
                                                head.contains("Model: large")
                                                        ? HedgeableUpstream.text("data: large\n\n")
                                                        : HedgeableUpstream.text("data: small\n\n")
                                                                .replace(
                                                                        "Stamp",
                                                                        "Confidence: 10\r\nStamp"));
                                    });
                    RouterHarness harness = harness(first, second)) {
                for (int j = 0; j < WARM_UP_REQUESTS; j++) {
                    harness.exchange("GET", "/models/" + HedgeableUpstream.WARM_UP, "");
                }
                assertThat(bodyOf(harness.exchange("GET", "/models/x", "")))
                        .isIn(small, "data: large\n\n");
            }
        }
    }

    private static void awaitIfSmall(String head, CyclicBarrier both) throws IOException {
        if (head.contains("Model: large")) {
            return;
        }
        try {
            both.await(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new IOException(e);
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
            HedgeCounts before = HedgeCounts.of(harness);
            assertThat(harness.exchange("POST", "/unsafe/x", "body")).endsWith("late");
            assertThat(other.requests()).isZero();
            assertThat(HedgeCounts.of(harness)).isEqualTo(before);
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
                RouterHarness.sendRequest(caller, "GET", "/patient-safe/x", "");
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
            assertThat(harness.exchange("GET", "/patient-safe/x", ""))
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
            RouterHarness.sendRequest(caller, "GET", "/patient-safe/x", "");
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
