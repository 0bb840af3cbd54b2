package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Test;
import org.wigeonferry.stand_ins.PersistentUpstream;
import org.wigeonferry.stand_ins.PersistentUpstreamScript;
import org.wigeonferry.stand_ins.ReceivedRequest;

/**
 * Guards against requests that fail, or get another request's response, because their connection to
 * the upstream has served other requests before.
 */
class ReusedConnectionTest {
    private static final int IDLE_CONNECTIONS = 4;
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(5);
    private static final String KEEP_FOR_LONG = "Keep-Alive: timeout=60\r\n";
    private static final PersistentUpstreamScript GOOD =
            (request, socket) -> respond(socket, request, KEEP_FOR_LONG);

    private static void respond(Socket socket, ReceivedRequest request, String fields)
            throws IOException {
        write(socket, responseTo(request.field("Id"), fields));
    }

    /** A response whose body is the id of the request that it belongs to. */
    private static String responseTo(String id, String fields) {
        return "HTTP/1.1 200 OK\r\nStamp: s\r\nId: "
                + id
                + "\r\n"
                + fields
                + "Content-Length: "
                + id.length()
                + "\r\n\r\n"
                + id;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static void pause(Duration duration) {
        LockSupport.parkNanos(duration.toNanos());
    }

    private static void await(BooleanSupplier condition) {
        long endNanos = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() - endNanos < 0) {
            pause(Duration.ofMillis(5));
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private static RouterHarness router(PersistentUpstream upstream) throws Exception {
        return RouterHarness.keepingConnections(IDLE_CONNECTIONS, upstream.port());
    }

    private static void assertAnswered(RouterHarness harness, String path, String id)
            throws IOException {
        assertThat(harness.exchangeWithId("POST", path, id, "body"))
                .startsWith("HTTP/1.1 200")
                .endsWith("\r\n\r\n" + id);
    }

    private static List<Integer> connectionsOf(PersistentUpstream upstream) {
        return upstream.requests().stream().map(ReceivedRequest::connection).toList();
    }

    @Test
    void safeRequestsShareAConnection() throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, GOOD);
                RouterHarness harness = router(upstream)) {
            for (int i = 0; i < 5; i++) {
                assertAnswered(harness, "/safe/x", "id-" + i);
            }
            assertThat(connectionsOf(upstream)).containsExactly(1, 1, 1, 1, 1);
            assertThat(harness.counter("upstream_connections_opened")).isEqualTo(1);
            assertThat(harness.counter("upstream_connections_reused")).isEqualTo(4);
        }
    }

    @Test
    void withoutTheSettingEachRequestHasItsConnection() throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, GOOD);
                RouterHarness harness = RouterHarness.keepingConnections(0, upstream.port())) {
            for (int i = 0; i < 3; i++) {
                assertAnswered(harness, "/safe/x", "id-" + i);
            }
            assertThat(connectionsOf(upstream)).containsExactly(1, 2, 3);
            assertThat(upstream.requests().get(0).field("Connection")).isEqualTo("close");
        }
    }

    /** Whether it ran would be unknown if the connection were lost. */
    @Test
    void requestThatMustNotBeRepeatedIsTheOnlyOneOnItsConnection() throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, GOOD);
                RouterHarness harness = router(upstream)) {
            assertAnswered(harness, "/safe/x", "id-1");
            assertAnswered(harness, "/unsafe/x", "id-2");
            assertAnswered(harness, "/safe/x", "id-3");
            assertThat(connectionsOf(upstream)).containsExactly(1, 2, 1);
            assertThat(upstream.requests().get(1).field("Connection")).isEqualTo("close");
        }
    }

    /** The upstream closes the connection at the moment at which the router uses it again. */
    @Test
    void requestOnAConnectionThatIsResetIsAnsweredOnANewOne() throws Exception {
        assertLossIsAnswered(
                (request, socket) -> {
                    socket.setSoLinger(true, 0);
                    socket.close();
                });
    }

    @Test
    void requestOnAConnectionThatEndsIsAnsweredOnANewOne() throws Exception {
        assertLossIsAnswered((request, socket) -> socket.close());
    }

    /** A late copy of the first response comes in place of the second. */
    @Test
    void lateResponseToAnEarlierRequestIsNotDelivered() throws Exception {
        assertLossIsAnswered((request, socket) -> write(socket, responseTo("id-1", "")));
    }

    @Test
    void lateResponseBeforeTheOwnOneIsNotDelivered() throws Exception {
        assertLossIsAnswered(
                (request, socket) ->
                        write(
                                socket,
                                responseTo("id-1", "") + responseTo(request.field("Id"), "")));
    }

    @Test
    void restOfALateResponseIsNotDelivered() throws Exception {
        assertLossIsAnswered(
                (request, socket) ->
                        write(socket, "d-1\r\n\r\nid-1" + responseTo(request.field("Id"), "")));
    }

    private static void assertLossIsAnswered(PersistentUpstreamScript onReuse) throws Exception {
        PersistentUpstreamScript script =
                (request, socket) ->
                        (request.number() == 1 ? GOOD : onReuse).answer(request, socket);
        try (PersistentUpstream upstream = new PersistentUpstream(0, script);
                RouterHarness harness = router(upstream)) {
            assertAnswered(harness, "/safe/x", "id-1");
            assertAnswered(harness, "/safe/x", "id-2");
            assertThat(connectionsOf(upstream)).containsExactly(1, 1, 2);
            assertThat(harness.counter("sends_lost_on_reuse|service|service")).isEqualTo(1);
            assertThat(harness.counter("sends_broken|service|service")).isZero();
        }
    }

    /** Some copies are read with the response before, others with the request after. */
    @Test
    void copiesOfEachResponseAreNotDelivered() throws Exception {
        PersistentUpstreamScript threeTimes =
                (request, socket) ->
                        write(socket, responseTo(request.field("Id"), KEEP_FOR_LONG).repeat(3));
        try (PersistentUpstream upstream = new PersistentUpstream(0, threeTimes);
                RouterHarness harness = router(upstream)) {
            for (int i = 10; i < 40; i++) {
                assertAnswered(harness, "/safe/x", "id-" + i);
            }
        }
    }

    /** The end of a stream that has begun on a reused connection is an ordinary failure. */
    @Test
    void responseThatBreaksOffOnAReusedConnectionCountsAsAFailure() throws Exception {
        PersistentUpstreamScript script =
                (request, socket) -> {
                    if (request.number() == 1) {
                        GOOD.answer(request, socket);
                        return;
                    }
                    String response = responseTo(request.field("Id"), "");
                    write(socket, response.substring(0, response.length() - 1));
                    socket.close();
                };
        try (PersistentUpstream upstream = new PersistentUpstream(0, script);
                RouterHarness harness = router(upstream)) {
            assertAnswered(harness, "/safe/x", "id-1");
            assertThat(harness.exchangeWithId("POST", "/safe/x", "id-2", ""))
                    .startsWith("HTTP/1.1 502");
            assertThat(harness.counter("sends_broken|service|service")).isEqualTo(1);
        }
    }

    @Test
    void connectionThatEndsWhileIdleIsNotUsed() throws Exception {
        PersistentUpstreamScript closing =
                (request, socket) -> {
                    GOOD.answer(request, socket);
                    socket.close();
                };
        assertEachRequestHasItsConnection(closing, Duration.ofMillis(100));
    }

    @Test
    void connectionWithBytesWhileIdleIsNotUsed() throws Exception {
        PersistentUpstreamScript answersTwice =
                (request, socket) -> {
                    GOOD.answer(request, socket);
                    pause(Duration.ofMillis(50));
                    GOOD.answer(request, socket);
                };
        assertEachRequestHasItsConnection(answersTwice, Duration.ofMillis(200));
    }

    @Test
    void connectionThatTheUpstreamWantsClosedIsNotUsed() throws Exception {
        assertEachRequestHasItsConnection(
                (request, socket) -> respond(socket, request, "Connection: close\r\n"),
                Duration.ZERO);
    }

    @Test
    void connectionOfAResponseThatIsNotReadToItsEndIsNotUsed() throws Exception {
        PersistentUpstreamScript endless =
                (request, socket) -> {
                    if (request.number() == 1 && request.field("Id").equals("id-0")) {
                        write(socket, "HTTP/1.1 200 OK\r\nId: id-9\r\nContent-Length: 99\r\n\r\n");
                        return;
                    }
                    GOOD.answer(request, socket);
                };
        try (PersistentUpstream upstream = new PersistentUpstream(0, endless);
                RouterHarness harness = router(upstream)) {
            assertThat(harness.exchangeWithId("POST", "/safe/x", "id-0", ""))
                    .startsWith("HTTP/1.1 502");
            await(() -> upstream.openConnections() == 0);
            assertAnswered(harness, "/safe/x", "id-1");
            assertThat(connectionsOf(upstream)).containsExactly(1, 2);
        }
    }

    private static void assertEachRequestHasItsConnection(
            PersistentUpstreamScript script, Duration idleTime) throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, script);
                RouterHarness harness = router(upstream)) {
            for (int i = 0; i < 3; i++) {
                assertAnswered(harness, "/safe/x", "id-" + i);
                pause(idleTime);
            }
            assertThat(connectionsOf(upstream)).containsExactly(1, 2, 3);
            assertThat(harness.counter("sends_lost_on_reuse|service|service")).isZero();
        }
    }

    /** The upstream would close it after 1 s. */
    @Test
    void idleConnectionIsUsedForFourFifthsOfTheAnnouncedTime() throws Exception {
        PersistentUpstreamScript shortTime =
                (request, socket) -> respond(socket, request, "Keep-Alive: timeout=1\r\n");
        try (PersistentUpstream upstream = new PersistentUpstream(0, shortTime);
                RouterHarness harness = router(upstream)) {
            assertAnswered(harness, "/safe/x", "id-1");
            pause(Duration.ofMillis(900));
            assertAnswered(harness, "/safe/x", "id-2");
            assertThat(connectionsOf(upstream)).containsExactly(1, 2);
            await(() -> upstream.openConnections() == 0);
        }
    }

    @Test
    void announcedTimeOfMoreThanASecondIsUsed() throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, GOOD);
                RouterHarness harness = router(upstream)) {
            assertAnswered(harness, "/safe/x", "id-1");
            pause(Duration.ofMillis(1300));
            assertAnswered(harness, "/safe/x", "id-2");
            assertThat(connectionsOf(upstream)).containsExactly(1, 1);
        }
    }

    /** The connections of the process that has ended are reset only when something is sent. */
    @Test
    void upstreamThatRestartsUnderTheSameAddressGetsNewConnections() throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, GOOD);
                RouterHarness harness = router(upstream)) {
            assertAnswered(harness, "/safe/x", "id-1");
            harness.register(0, upstream.port(), 2);
            assertAnswered(harness, "/safe/x", "id-2");
            assertThat(connectionsOf(upstream)).containsExactly(1, 2);
            await(() -> upstream.openConnections() == 1);
        }
    }

    /** The store does not know of the restart yet. */
    @Test
    void upstreamThatRestartsUnnoticedAnswersNoWorseThanWithNewConnections() throws Exception {
        try (PersistentUpstream before = new PersistentUpstream(0, GOOD);
                RouterHarness harness = router(before)) {
            assertAnswered(harness, "/safe/x", "id-1");
            before.close();
            try (PersistentUpstream after = new PersistentUpstream(before.port(), GOOD)) {
                assertAnswered(harness, "/safe/x", "id-2");
                assertThat(connectionsOf(after)).containsExactly(1);
                assertThat(harness.counter("sends_broken|service|service")).isZero();
            }
        }
    }

    @Test
    void idleConnectionMakesRoomWithinTheLimit() throws Exception {
        try (PersistentUpstream upstream = new PersistentUpstream(0, GOOD);
                RouterHarness harness = router(upstream)) {
            harness.setMaxConnections(1);
            assertAnswered(harness, "/safe/x", "id-1");
            assertAnswered(harness, "/unsafe/x", "id-2");
            assertThat(connectionsOf(upstream)).containsExactly(1, 2);
            await(() -> upstream.openConnections() == 0);
        }
    }

    @Test
    void requestBeyondTheLimitIsRefusedAsNotRun() throws Exception {
        PersistentUpstreamScript slow =
                (request, socket) -> {
                    pause(Duration.ofMillis(700));
                    GOOD.answer(request, socket);
                };
        try (PersistentUpstream upstream = new PersistentUpstream(0, slow);
                RouterHarness harness = router(upstream)) {
            harness.setMaxConnections(1);
            try (Socket first = harness.connect()) {
                RouterHarness.sendRequest(first, "POST", "/unsafe/x", "body");
                await(() -> upstream.requests().size() == 1);
                assertThat(harness.exchangeWithId("POST", "/unsafe/x", "id-2", "body"))
                        .startsWith("HTTP/1.1 503")
                        .contains("\"not_run\":true");
                assertThat(RouterHarness.readResponse(first)).startsWith("HTTP/1.1 200");
            }
            assertThat(upstream.mostOpenConnections()).isEqualTo(1);
        }
    }
}
