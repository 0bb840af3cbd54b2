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
 * Guards against a planned stop that cuts connections without an answer: requests that are still
 * under way at its end, requests that are read late, and answers that are still being written.
 */
class StopCutsRequestsTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";

    /** Shorter than the timeout of the routes, which is 3 s. */
    private static final Duration STOP_TIME = Duration.ofMillis(1500);

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static void pause(Duration duration) {
        LockSupport.parkNanos(duration.toNanos());
    }

    /** A planned stop, as the process does it. */
    private static CompletableFuture<Void> stop(RouterHarness harness, Duration deadline) {
        return CompletableFuture.runAsync(
                () -> {
                    harness.server().drain(deadline);
                    harness.server().stop();
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/safe/x", "/stream/x"})
    void requestThatIsUnderWayAtTheEndGetsAnAnswer(String path) throws Exception {
        UpstreamScript silent = (head, socket) -> pause(Duration.ofSeconds(5));
        try (ScriptedUpstream upstream = new ScriptedUpstream(silent);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            RouterHarness.sendRequest(caller, "POST", path, "body");
            CompletableFuture<Void> stopped = stop(harness, STOP_TIME);
            String response = RouterHarness.readResponse(caller);
            // It may have run, so the answer must not say that it has not.
            assertThat(response).startsWith("HTTP/1.1 502").doesNotContain("<closed>");
            stopped.get(10, TimeUnit.SECONDS);
        }
    }

    /** The head came in time; the body when requests are refused already. */
    @Test
    void requestWhoseBodyIsReadLateIsRefusedAndDoesNotRun() throws Exception {
        UpstreamScript silent = (head, socket) -> pause(Duration.ofSeconds(5));
        try (ScriptedUpstream upstream = new ScriptedUpstream(silent);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            CompletableFuture<Void> stopped = stop(harness, Duration.ofSeconds(5));
            pause(Duration.ofMillis(2500));
            write(caller, "POST /unsafe/x HTTP/1.1\r\nHost: example\r\nId: id-1\r\n");
            write(caller, "Content-Length: 4\r\n\r\nbo");
            pause(Duration.ofMillis(600));
            write(caller, "dy");
            assertThat(RouterHarness.readResponse(caller)).startsWith("HTTP/1.1 503");
            assertThat(upstream.requests()).isEmpty();
            stopped.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    void answerThatItsCallerIsStillReadingIsDeliveredWhole() throws Exception {
        int length = 8 << 20;
        UpstreamScript large =
                (head, socket) ->
                        write(
                                socket,
                                HEAD
                                        + "Content-Length: "
                                        + length
                                        + "\r\n\r\n"
                                        + "a".repeat(length));
        try (ScriptedUpstream upstream = new ScriptedUpstream(large);
                RouterHarness harness = new RouterHarness(List.of(upstream));
                Socket caller = harness.connect()) {
            RouterHarness.sendRequest(caller, "GET", "/safe/x", "");
            pause(Duration.ofMillis(300));
            CompletableFuture<Void> stopped = stop(harness, Duration.ofSeconds(7));
            pause(Duration.ofMillis(4500));
            int received = caller.getInputStream().readAllBytes().length;
            assertThat(received).isGreaterThanOrEqualTo(length);
            stopped.get(10, TimeUnit.SECONDS);
        }
    }
}
