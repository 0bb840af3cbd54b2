package org.wigeonferry.router;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.wigeonferry.stand_ins.ScriptedUpstream;
import org.wigeonferry.stand_ins.UpstreamScript;

/**
 * An upstream that answers warm-up requests at once, and others by a script of the test.
 *
 * <p>Thread safe.
 */
final class HedgeableUpstream implements AutoCloseable {
    static final String HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nStamp: s\r\n";
    static final String WARM_UP = "warm-up";
    private static final int MAX_WAIT_SECONDS = 8;

    private final CountDownLatch received = new CountDownLatch(1);
    private final CompletableFuture<Boolean> closed = new CompletableFuture<>();
    private final ScriptedUpstream upstream;

    HedgeableUpstream(UpstreamScript script) throws IOException {
        upstream = new ScriptedUpstream((head, socket) -> answer(head, socket, script));
    }

    /** Never answers, and notices when the router closes the connection. */
    static HedgeableUpstream silent() throws IOException {
        return new HedgeableUpstream((head, socket) -> {});
    }

    private void answer(String head, Socket socket, UpstreamScript script) throws IOException {
        if (head.contains(WARM_UP)) {
            write(socket, HEAD + "Content-Length: 12\r\n\r\ndata: warm\n\n");
            return;
        }
        received.countDown();
        script.answer(head, socket);
        try {
            int next = socket.getInputStream().read();
            closed.complete(next < 0);
        } catch (IOException e) {
            closed.complete(true);
        }
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    static String text(String body) {
        return HEAD + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    ScriptedUpstream upstream() {
        return upstream;
    }

    /** Requests that were not sent to warm up. */
    long requests() {
        return upstream.requests().stream().filter(head -> !head.contains(WARM_UP)).count();
    }

    /** Waits for a request of the test. */
    void awaitRequest() throws IOException {
        try {
            if (!received.await(MAX_WAIT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("no request came");
            }
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Whether the router closes the connection of a request after its script. */
    boolean isClosedByRouter() throws Exception {
        return closed.get(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
    }

    /** Waits until the router closes the connection of a request after its script. */
    void awaitClose() throws IOException {
        try {
            isClosedByRouter();
        } catch (Exception e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() throws IOException {
        upstream.close();
    }
}
