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
 * Guards against a planned stop under load that cuts off requests that were just accepted: callers
 * go on using their open connections until the router closes them.
 */
class PlannedStopTest {
    private static final int CALLERS = 60;
    private static final Duration WORK = Duration.ofMillis(30);
    private static final UpstreamScript WORKING =
            (head, socket) -> {
                LockSupport.parkNanos(WORK.toNanos());
                String answer =
                        "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\nContent-Length: 4\r\n\r\ngood";
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                socket.getOutputStream().flush();
            };

    /** Sends requests one after the other until the router ends the connection; counts answers. */
    private static int useConnection(RouterHarness harness) {
        int answers = 0;
        try (Socket socket = harness.connect()) {
            while (true) {
                RouterHarness.sendRequest(socket, "POST", "/unsafe/x", "body");
                String response = RouterHarness.readResponse(socket);
                if (response.endsWith("<closed>")) {
                    return answers;
                }
                if (response.startsWith("HTTP/1.1 200")) {
                    answers++;
                }
            }
        } catch (IOException e) {
            return answers;
        }
    }

    @Test
    void everyRequestThatRanIsAnswered() throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(CALLERS);
        try (ScriptedUpstream upstream = new ScriptedUpstream(WORKING);
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            List<CompletableFuture<Integer>> callers = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                callers.add(CompletableFuture.supplyAsync(() -> useConnection(harness), threads));
            }
            harness.server().drain(Duration.ofSeconds(8));
            harness.server().stop();
            int answers = 0;
            for (CompletableFuture<Integer> caller : callers) {
                answers += caller.get(10, TimeUnit.SECONDS);
            }
            assertThat(answers).isPositive().isEqualTo(upstream.requests().size());
        } finally {
            threads.shutdownNow();
        }
    }
}
