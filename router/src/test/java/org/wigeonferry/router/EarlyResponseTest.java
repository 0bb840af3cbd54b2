package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * Guards against a response that breaks off during the upload and reaches the caller as a complete
 * one. The write of the upload may be told of the reset, and the read then sees an ordinary end.
 */
class EarlyResponseTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    private static final String PARTIAL = HEAD + "\r\npartial";
    private static final String COMPLETE = HEAD + "Content-Length: 8\r\n\r\ncomplete";
    private static final String EVENT =
            HEAD + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

    /** More than the socket buffers of both ends hold, as the upstream has a small one. */
    private static final String LONG_UPLOAD = "x".repeat(4_000_000);

    private static final Duration UPLOAD_BEGINS = Duration.ofMillis(50);

    /** Longer than the route's timeout. */
    private static final Duration FOR_EVER = Duration.ofSeconds(5);

    /** The race between the read and the write of the connection is decided either way. */
    private static final int REPETITIONS = 10;

    private static void respond(Socket socket, String path) throws IOException {
        write(socket, path.contains("stream") ? EVENT : PARTIAL);
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    private static void pause(Duration duration) {
        LockSupport.parkNanos(duration.toNanos());
    }

    private static void assertNeverComplete(String path, UpstreamScript script, int repetitions)
            throws Exception {
        try (ScriptedUpstream upstream = new ScriptedUpstream(script).withoutReadingBodies();
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            for (int i = 0; i < repetitions; i++) {
                String response = harness.exchange("POST", path, LONG_UPLOAD);
                boolean complete =
                        response.startsWith("HTTP/1.1 200") && !response.endsWith("<closed>");
                assertThat(complete).as("%s, repetition %d: %s", path, i, response).isFalse();
                pause(Duration.ofMillis(450));
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"})
    void partialResponseThatIsResetDuringTheUploadIsNotComplete(String path) throws Exception {
        UpstreamScript reset =
                (head, socket) -> {
                    respond(socket, path);
                    pause(UPLOAD_BEGINS);
                    socket.setSoLinger(true, 0);
                };
        assertNeverComplete(path, reset, REPETITIONS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"})
    void partialResponseThatIsResetAtOnceIsNotComplete(String path) throws Exception {
        UpstreamScript reset =
                (head, socket) -> {
                    respond(socket, path);
                    socket.setSoLinger(true, 0);
                };
        assertNeverComplete(path, reset, REPETITIONS);
    }

    /** The upstream ends its response with a FIN, and reads no more of the upload. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"})
    void partialResponseThatEndsDuringTheUploadIsNotComplete(String path) throws Exception {
        UpstreamScript end =
                (head, socket) -> {
                    respond(socket, path);
                    pause(UPLOAD_BEGINS);
                    socket.shutdownOutput();
                    pause(FOR_EVER);
                };
        assertNeverComplete(path, end, 1);
    }

    /** The upstream ends its response with a FIN, and discards the rest of the upload. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"})
    void partialResponseThatEndsBeforeTheUploadIsDiscardedIsNotComplete(String path)
            throws Exception {
        UpstreamScript end =
                (head, socket) -> {
                    respond(socket, path);
                    pause(UPLOAD_BEGINS);
                    socket.shutdownOutput();
                    pause(Duration.ofMillis(200));
                    socket.getInputStream().transferTo(OutputStream.nullOutputStream());
                };
        assertNeverComplete(path, end, 1);
    }

    /** A response with a length is complete whatever becomes of the upload, and is delivered. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x"})
    void completeEarlyResponseIsDeliveredThoughTheUploadIsNeverRead(String path) throws Exception {
        UpstreamScript early =
                (head, socket) -> {
                    write(socket, COMPLETE);
                    pause(FOR_EVER);
                };
        try (ScriptedUpstream upstream = new ScriptedUpstream(early).withoutReadingBodies();
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            assertThat(harness.exchange("POST", path, LONG_UPLOAD))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("complete");
        }
    }

    /** The end of the connection ends the response where the whole upload was read before. */
    @ParameterizedTest
    @ValueSource(strings = {"/safe/x", "/unsafe/x", "/stream/x", "/stream-once/x"})
    void responseWithoutALengthAfterTheWholeUploadIsComplete(String path) throws Exception {
        UpstreamScript readsAll =
                (head, socket) -> {
                    InputStream in = socket.getInputStream();
                    in.readNBytes(LONG_UPLOAD.length());
                    respond(socket, path);
                };
        try (ScriptedUpstream upstream = new ScriptedUpstream(readsAll).withoutReadingBodies();
                RouterHarness harness = new RouterHarness(List.of(upstream))) {
            for (int i = 0; i < REPETITIONS; i++) {
                assertThat(harness.exchange("POST", path, LONG_UPLOAD))
                        .startsWith("HTTP/1.1 200")
                        .doesNotEndWith("<closed>");
            }
        }
    }
}
