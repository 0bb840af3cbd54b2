package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A server of the platform (PROTOCOL.md, "Servers"): checks the id that a request expects, runs the
 * request and answers with its stamp and the request's id. Thread safe.
 */
public final class AppServer implements AutoCloseable {
    /** One request as it arrived. */
    public record Arrival(String head, byte[] body, Socket socket) {
        public String id() {
            return Wire.field(head, "X-Wigeonferry-Request-Id").orElse("");
        }

        public String firstLine() {
            return head.substring(0, head.indexOf("\r\n"));
        }
    }

    /** What the server does with a request that it runs. */
    public interface Work {
        void run(AppServer server, Arrival arrival, OutputStream out) throws IOException;
    }

    private final String id;
    private final Record record;
    private final Work work;
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean exited;

    public AppServer(String id, Record record, Work work) throws IOException {
        this.id = id;
        this.record = record;
        this.work = work;
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    public String id() {
        return id;
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Head of a success for a request, with further fields, each ending with CR LF. */
    public String head(Arrival arrival, String fields) {
        return "HTTP/1.1 200 OK\r\nX-Wigeonferry-Request-Id: "
                + arrival.id()
                + "\r\nX-Wigeonferry-Server-Stamp: stamp."
                + id
                + "\r\nX-Wigeonferry-Instance-Id: "
                + id
                + "\r\n"
                + fields
                + "\r\n";
    }

    /** Answers with a success and a whole body. */
    public void answer(Arrival arrival, OutputStream out, byte[] body) throws IOException {
        out.write(Wire.ascii(head(arrival, "Content-Length: " + body.length + "\r\n")));
        out.write(body);
        out.flush();
    }

    /** Answers that the request has not run. */
    public void reject(Arrival arrival, OutputStream out, int status) throws IOException {
        String head =
                "HTTP/1.1 "
                        + status
                        + " Rejected\r\nX-Wigeonferry-Request-Id: "
                        + arrival.id()
                        + "\r\nX-Wigeonferry-Not-Run: 1\r\nX-Wigeonferry-Instance-Id: "
                        + id
                        + "\r\nContent-Length: 0\r\n\r\n";
        out.write(Wire.ascii(head));
        out.flush();
    }

    /** Ends as a process that exits does: its port is closed and all connections are cut. */
    @Override
    public void close() throws IOException {
        exited = true;
        listener.close();
        for (Socket socket : open) {
            socket.close();
        }
    }

    private void accept() {
        while (!exited) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                var head = Wire.head(in);
                if (head.isEmpty()) {
                    return;
                }
                byte[] body = in.readNBytes(Wire.length(head.get()));
                Arrival arrival = new Arrival(head.get(), body, socket);
                boolean meant =
                        Wire.field(head.get(), "X-Wigeonferry-Expect-Instance")
                                .filter(expected -> !expected.equals(id))
                                .isEmpty();
                if (!meant) {
                    reject(arrival, out, 421);
                    continue;
                }
                work.run(this, arrival, out);
            }
        } catch (IOException e) {
            record.line("server " + id + ": connection ended: " + e.getMessage());
        } finally {
            open.remove(socket);
        }
    }

    static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Waits, as work takes time. */
    public static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
