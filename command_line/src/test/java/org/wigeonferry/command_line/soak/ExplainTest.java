package org.wigeonferry.command_line.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wigeonferry.command_line.DemoPorts;
import org.wigeonferry.command_line.Main;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.StoreStandIn;

/** From an id and the collected logs alone, the command finds the cause that was injected. */
class ExplainTest {
    /** Above the time for revocations, after which a silent store counts. */
    private static final Duration LONG_CUT = Duration.ofSeconds(6);

    private final SoakHistory history = new SoakHistory(() -> System.nanoTime() / 1_000_000);
    private StoreStandIn store;
    private ScriptedUpstream desk;
    private ScriptedUpstream model;
    private SoakRouter router;
    private Path directory;

    @BeforeEach
    void start() throws Exception {
        store = new StoreStandIn();
        desk = new ScriptedUpstream((head, socket) -> reset(socket));
        model = new ScriptedUpstream(ExplainTest::breakOff);
        SoakStore rows = new SoakStore(store, history);
        rows.configure("known");
        rows.upstream("i-desk", address(desk), "desk", false);
        rows.upstream("i-model", address(model), "model", false);
        directory = Files.createTempDirectory("explain-");
        router = new SoakRouter("router", directory, new DemoPorts(), store.address());
        router.start();
        router.awaitReady();
    }

    @AfterEach
    void stop() throws Exception {
        router.close();
        desk.close();
        model.close();
        store.close();
    }

    @Test
    void bookingThatEndedWith502() throws Exception {
        assertThat(call("b1", SoakKind.BOOK, "known").status()).isEqualTo(502);
        assertThat(explain("b1"))
                .contains("cause: it may have run: the send to upstream i-desk")
                .contains("ended broken");
    }

    @Test
    void streamThatBrokeOffMidway() throws Exception {
        SoakAnswer answer = call("c1", SoakKind.CHAT, "known");
        assertThat(answer.status()).isEqualTo(200);
        assertThat(answer.whole()).isFalse();
        assertThat(explain("c1"))
                .contains("cause: its stream could not go on")
                .contains("the send to upstream i-model")
                .contains("ended broken");
    }

    @Test
    void properRequestRefusedWhileTheStoreIsCutOff() throws Exception {
        router.store().cut(true, true);
        Thread.sleep(LONG_CUT.toMillis());
        assertThat(call("l1", SoakKind.LOOK, "known").status()).isEqualTo(503);
        assertThat(explain("l1"))
                .contains("cause: the configuration was last confirmed")
                .contains("the store did not answer: feed");
    }

    @Test
    void keyThatTheConfigurationDoesNotKnow() throws Exception {
        assertThat(call("l2", SoakKind.LOOK, "unknown").status()).isEqualTo(401);
        assertThat(explain("l2")).contains("cause: unknown key in revision 1");
    }

    @Test
    void idThatNoLineNames() throws Exception {
        assertThat(explain("nobody")).contains("no line names request nobody");
    }

    private SoakAnswer call(String id, SoakKind kind, String key) {
        return SoakCaller.send(history, router.callers(), 0, id, kind, key).answer();
    }

    /** What the command prints, once the log has been written. */
    private String explain(String id) throws Exception {
        Thread.sleep(500);
        List<String> words = new ArrayList<>();
        words.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        words.addAll(List.of("-cp", System.getProperty("java.class.path"), Main.class.getName()));
        words.addAll(List.of("explain", id, directory.resolve("router-1.log").toString()));
        Process process = new ProcessBuilder(words).redirectErrorStream(true).start();
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    private static HostAddress address(ScriptedUpstream upstream) {
        return new HostAddress("127.0.0.1", upstream.port());
    }

    private static void breakOff(String head, Socket socket) throws IOException {
        String event = SoakChecks.event("c1", 0);
        String answer =
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\nX-Wigeonferry-Request-Id: c1\r\n"
                        + "X-Wigeonferry-Server-Stamp: i-model\r\n\r\n"
                        + Integer.toHexString(event.length())
                        + "\r\n"
                        + event
                        + "\r\n";
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        sleep();
        reset(socket);
    }

    private static void sleep() throws IOException {
        try {
            Thread.sleep(100);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
