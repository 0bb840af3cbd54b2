package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.routing.RoutingConfig;
import org.wigeonferry.routing.waiting.QueueLimits;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against a request that waits for room and is forgotten, runs although its caller has left,
 * or gets no answer or a wrong one when the router stops or what it waits for is withdrawn.
 */
class RequestWaitsForRoomTest {
    /** Slots of the harness's upstream, and its short queue. */
    private static final int PLACES = 12;

    private final CompletableFuture<Void> release = new CompletableFuture<>();
    private final List<Socket> callers = new ArrayList<>();
    private ScriptedUpstream upstream;
    private RouterHarness harness;

    @BeforeEach
    void fillTheUpstream() throws Exception {
        UpstreamScript answerWhenReleased =
                (head, socket) -> {
                    release.join();
                    String answer =
                            "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 4\r\n\r\ngood";
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().flush();
                };
        upstream = new ScriptedUpstream(answerWhenReleased);
        harness =
                new RouterHarness(
                        List.of(upstream),
                        state -> state.loadAdmission().enable(QueueLimits.withBytes(1 << 20)));
        for (int i = 0; i < PLACES; i++) {
            send();
        }
        long end = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        while (upstream.requests().size() < PLACES && System.nanoTime() < end) {
            LockSupport.parkNanos(Duration.ofMillis(5).toNanos());
        }
    }

    @AfterEach
    void stop() throws Exception {
        release.complete(null);
        for (Socket caller : callers) {
            caller.close();
        }
        harness.close();
        upstream.close();
    }

    private Socket send() throws Exception {
        Socket caller = harness.connect();
        callers.add(caller);
        RouterHarness.sendRequest(caller, "POST", "/unsafe/x", "body");
        return caller;
    }

    private Socket sendAndWait() throws Exception {
        Socket caller = send();
        harness.awaitWaiting(1);
        return caller;
    }

    @Test
    void isSentWhenAnotherSendEnds() throws Exception {
        Socket caller = sendAndWait();
        release.complete(null);
        assertThat(RouterHarness.readResponse(caller)).startsWith("HTTP/1.1 200");
        assertThat(upstream.requests()).hasSize(PLACES + 1);
    }

    @Test
    void isRefusedAsNotRunWhenItCanNoLongerBeAnsweredInTime() throws Exception {
        Socket caller = sendAndWait();
        assertThat(RouterHarness.readResponse(caller))
                .startsWith("HTTP/1.1 503")
                .contains("Retry-After: ")
                .contains("\"type\":\"wait_too_long\",\"not_run\":true");
        assertThat(upstream.requests()).hasSize(PLACES);
    }

    @Test
    void isRefusedAsNotRunWhenTheRouterStops() throws Exception {
        Socket caller = sendAndWait();
        CompletableFuture<Void> stopped =
                CompletableFuture.runAsync(() -> harness.server().drain(Duration.ofMillis(500)));
        assertThat(RouterHarness.readResponse(caller))
                .startsWith("HTTP/1.1 503")
                .contains("\"type\":\"stopping\",\"not_run\":true");
        stopped.get(5, TimeUnit.SECONDS);
        assertThat(upstream.requests()).hasSize(PLACES);
    }

    @Test
    void doesNotRunOnceItsCallerHasLeft() throws Exception {
        sendAndWait().close();
        harness.awaitWaiting(0);
        release.complete(null);
        for (int i = 0; i < PLACES; i++) {
            assertThat(RouterHarness.readResponse(callers.get(i))).startsWith("HTTP/1.1 200");
        }
        assertThat(upstream.requests()).hasSize(PLACES);
    }

    @Test
    void isRefusedAtOnceWhenItsUpstreamIsWithdrawn() throws Exception {
        Socket caller = sendAndWait();
        harness.change(router -> router.onUpstreamRemoved("u0"));
        assertThat(RouterHarness.readResponse(caller))
                .startsWith("HTTP/1.1 503")
                .contains("\"type\":\"no_upstream\",\"not_run\":true");
    }

    @Test
    void isRefusedAtOnceWhenItsRouteIsWithdrawn() throws Exception {
        Socket caller = sendAndWait();
        harness.change(router -> router.onConfiguration(RoutingConfig.builder(2).build()));
        assertThat(RouterHarness.readResponse(caller))
                .startsWith("HTTP/1.1 404")
                .contains("\"type\":\"unknown_route\",\"not_run\":true");
    }

    @Test
    void isSentToANewUpstream() throws Exception {
        Socket caller = sendAndWait();
        try (ScriptedUpstream second =
                new ScriptedUpstream(
                        (head, socket) ->
                                socket.getOutputStream()
                                        .write(
                                                "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok"
                                                        .getBytes(StandardCharsets.ISO_8859_1)))) {
            harness.change(
                    router -> router.onUpstream(RouterHarness.upstream(0, "u1", second.port())));
            assertThat(RouterHarness.readResponse(caller)).startsWith("HTTP/1.1 200");
        }
    }
}
