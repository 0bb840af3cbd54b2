package org.wigeonferry.command_line.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.stand_ins.ScriptedUpstream;

/**
 * An upstream that notes what it runs, and fails now and then in the ways that upstreams do.
 *
 * <p>Thread safe; the id may change, as when another process takes over the address.
 */
final class SoakUpstream implements AutoCloseable {
    private static final int MISDIRECTED = 421;
    private static final int NOT_RUN = 503;
    private static final int FAILED = 500;

    private final SoakHistory history;
    private final Random random;
    private final ScriptedUpstream server;
    private volatile String id;
    private volatile boolean faulty = true;

    SoakUpstream(String id, SoakHistory history, Random random) throws IOException {
        this.id = id;
        this.history = history;
        this.random = random;
        server = new ScriptedUpstream(this::answer);
    }

    String id() {
        return id;
    }

    /** Another upstream takes over the address. */
    void become(String next) {
        id = next;
    }

    void heal() {
        faulty = false;
    }

    HostAddress address() {
        return new HostAddress("127.0.0.1", server.port());
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void answer(String head, Socket socket) throws IOException {
        String me = id;
        OutputStream out = socket.getOutputStream();
        String request = header(head, "X-Wigeonferry-Request-Id").orElse("");
        if (!header(head, "X-Wigeonferry-Expect-Instance").equals(Optional.of(me))) {
            write(out, plain(MISDIRECTED, me, request, "", ""));
            return;
        }
        int draw = faulty ? random.nextInt(100) : 99;
        if (draw < 2) {
            reset(socket);
            return;
        }
        if (draw < 4) {
            write(out, plain(NOT_RUN, me, request, "X-Wigeonferry-Not-Run: 1\r\n", ""));
            return;
        }
        history.run(request, me);
        pause(draw < 6 ? 900 : 5 + random.nextInt(20));
        if (draw < 8) {
            reset(socket);
            return;
        }
        if (draw < 10) {
            write(out, plain(FAILED, me, request, "", "failed " + request));
            return;
        }
        if (SoakKind.of(head.split(" ")[1]) == SoakKind.CHAT) {
            stream(head, me, request, socket, draw < 14);
            return;
        }
        write(out, plain(200, me, request, "", "done " + request) + (draw < 11 ? "more" : ""));
    }

    private static void stream(
            String head, String me, String request, Socket socket, boolean breaksOff)
            throws IOException {
        OutputStream out = socket.getOutputStream();
        write(
                out,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n"
                        + signature(me, request)
                        + "\r\n");
        int from = header(head, "Last-Event-Id").map(Integer::parseInt).orElse(-1) + 1;
        for (int i = from; i < SoakChecks.EVENTS; i++) {
            pause(30);
            String event = SoakChecks.event(request, i);
            String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
            if (breaksOff && i == from + 2) {
                write(out, chunk.substring(0, chunk.length() / 2));
                reset(socket);
                return;
            }
            write(out, chunk);
        }
        write(out, "0\r\n\r\n");
    }

    private static String plain(int status, String me, String request, String more, String body) {
        return "HTTP/1.1 "
                + status
                + " x\r\n"
                + signature(me, request)
                + more
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    private static String signature(String me, String request) {
        return "X-Wigeonferry-Request-Id: "
                + request
                + "\r\nX-Wigeonferry-Server-Stamp: "
                + me
                + "\r\n";
    }

    private static Optional<String> header(String head, String name) {
        String start = name.toLowerCase(Locale.ROOT) + ":";
        return head.lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
                .map(line -> line.substring(start.length()).strip())
                .findFirst();
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void pause(long millis) throws IOException {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
