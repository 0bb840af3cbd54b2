package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.wigeonferry.node_runtime.ingress.IngressLimits;
import org.wigeonferry.stand_ins.ScriptedUpstream;

/**
 * Guards against a request that a limit refuses and that runs all the same, and against memory or
 * connections that stay counted once callers are gone, after which a router would refuse everyone.
 */
class RefusedByIngressLimitTest {
    private static final int HELD_BYTES = 100_000;
    private static final int FIELDS = 20;
    private static final int PIPELINED = 3;
    private static final IngressLimits LIMITS =
            new IngressLimits(10, HELD_BYTES, FIELDS, PIPELINED, 1, 1);
    private static final Duration RELEASE_WAIT = Duration.ofSeconds(8);

    private static ScriptedUpstream upstream() throws Exception {
        return new ScriptedUpstream(
                (head, socket) ->
                        socket.getOutputStream()
                                .write(
                                        ("HTTP/1.1 200 OK\r\nStamp: s\r\nId: id-1\r\n"
                                                        + "Content-Length: 4\r\n\r\ngood")
                                                .getBytes(StandardCharsets.US_ASCII)));
    }

    private static void awaitNothingHeld(RouterHarness harness) {
        long endNanos = System.nanoTime() + RELEASE_WAIT.toNanos();
        while (harness.gauge("ingress_connections") + harness.gauge("ingress_held_bytes") != 0
                && System.nanoTime() < endNanos) {
            LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
        }
        assertThat(harness.gauge("ingress_connections")).isZero();
        assertThat(harness.gauge("ingress_held_bytes")).isZero();
    }

    @Test
    void bodyWithoutRoomIsRefusedAsNotRun() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                RouterHarness harness = new RouterHarness(List.of(upstream), LIMITS)) {
            String response = harness.exchange("POST", "/unsafe/x", "x".repeat(2 * HELD_BYTES));
            assertThat(response).startsWith("HTTP/1.1 503").contains("\"not_run\":true");
            assertThat(upstream.requests()).isEmpty();
            awaitNothingHeld(harness);
        }
    }

    @Test
    void headOfTooManyFieldsIsRefused() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                RouterHarness harness = new RouterHarness(List.of(upstream), LIMITS);
                Socket socket = harness.connect()) {
            String head = "GET /unsafe/x HTTP/1.1\r\nHost: example\r\nId: id-1\r\n";
            String fields = "a: b\r\n".repeat(FIELDS);
            socket.getOutputStream()
                    .write((head + fields + "\r\n").getBytes(StandardCharsets.US_ASCII));
            assertThat(RouterHarness.readResponse(socket)).startsWith("HTTP/1.1 431");
            assertThat(upstream.requests()).isEmpty();
        }
    }

    /** The first request of a connection comes ahead of nothing. */
    @Test
    void requestsBeyondThePipeliningLimitDoNotRun() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                RouterHarness harness = new RouterHarness(List.of(upstream), LIMITS);
                Socket socket = harness.connect()) {
            String request = "GET /unsafe/x HTTP/1.1\r\nHost: example\r\nId: id-1\r\n\r\n";
            socket.getOutputStream()
                    .write(request.repeat(2 * PIPELINED).getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i <= PIPELINED; i++) {
                assertThat(RouterHarness.readResponse(socket)).endsWith("good");
            }
            assertThat(RouterHarness.readResponse(socket)).startsWith("HTTP/1.1 503");
            assertThat(upstream.requests()).hasSize(PIPELINED + 1);
        }
    }

    @Test
    void memoryIsReturnedOnceCallersAreGone() throws Exception {
        try (ScriptedUpstream upstream = upstream();
                RouterHarness harness = new RouterHarness(List.of(upstream), LIMITS)) {
            assertThat(harness.exchange("POST", "/safe/x", "x".repeat(HELD_BYTES / 3)))
                    .endsWith("good");
            try (Socket socket = harness.connect()) {
                socket.getOutputStream()
                        .write(
                                "GET /safe/x HTTP/1.1\r\na: b\r\n"
                                        .getBytes(StandardCharsets.US_ASCII));
            }
            awaitNothingHeld(harness);
        }
    }
}
