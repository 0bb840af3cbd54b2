import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service, which registers in the store and runs requests. */
final class Upstream {
    /** What a server does with a request that it runs. */
    interface Work {
        void run(Wire.Head head, byte[] body, OutputStream out, Socket connection)
                throws IOException, InterruptedException;
    }

    final String id;
    final AtomicInteger runs = new AtomicInteger();
    final AtomicInteger running = new AtomicInteger();
    private final Store store;
    private final String service;
    private final String zone;
    private final Record record;
    private final ServerSocket socket;
    private final long born = System.currentTimeMillis();
    private final int slots;
    private final Work work;

    /** Whether runs are counted only, not written to the record one by one. */
    volatile boolean quiet;

    private volatile boolean registers = true;
    private volatile String state = "ready";
    private long seq;

    Upstream(Store store, Record record, String id, String service, String zone, int slots, Work work)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.work = work;
        socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        register();
        Lab.daemon(id, this::accept);
        Lab.daemon(id + "-register", this::registerForEver);
    }

    /** Reports that the server is draining; it goes on serving. */
    synchronized void drain() {
        state = "draining";
        register();
    }

    /** Removes the entry, as a server does that never reports that it is draining. */
    synchronized void unregister() {
        registers = false;
        store.remove("servers", id);
    }

    private synchronized void register() {
        if (!registers) {
            return;
        }
        seq++;
        store.put(
                "servers",
                id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                + "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                                + "\"cold_left_ms\":0,\"seq\":%d,\"born\":%d}",
                        service, socket.getLocalPort(), zone, slots, state, seq, born));
    }

    private void registerForEver() {
        while (registers) {
            Lab.sleep(1200);
            register();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket connection = socket.accept();
                Lab.daemon(id + "-request", () -> serve(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            connection.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(connection.getInputStream(), 65536);
            OutputStream out = connection.getOutputStream();
            for (Wire.Head head = Wire.readHead(in); head != null; head = Wire.readHead(in)) {
                byte[] body = Wire.readBody(in, head);
                run(head, body, out, connection);
                if (head.field("connection").equalsIgnoreCase("close")) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            record.line("server " + id + ": connection ended: " + e.getMessage());
        }
    }

    private void run(Wire.Head head, byte[] body, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        String requestId = head.field("X-Wigeonferry-Request-Id");
        String expected = head.field("X-Wigeonferry-Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            reply(out, requestId, 421, new byte[0], "X-Wigeonferry-Instance-Id: " + id + "\r\n");
            return;
        }
        runs.incrementAndGet();
        running.incrementAndGet();
        if (!quiet) {
            record.line("server " + id + " runs " + requestId + " (" + body.length + " bytes)");
        }
        try {
            work.run(head, body, out, connection);
        } finally {
            running.decrementAndGet();
        }
        if (!quiet) {
            record.line("server " + id + " answered " + requestId);
        }
    }

    /** Writes a whole answer with a length and the server's signature. */
    void reply(OutputStream out, String requestId, int status, byte[] body, String moreFields)
            throws IOException {
        out.write(Wire.ascii(head(requestId, status, "Content-Length: " + body.length + "\r\n" + moreFields)));
        out.write(body);
        out.flush();
    }

    /** The head of an answer. */
    String head(String requestId, int status, String moreFields) {
        return "HTTP/1.1 "
                + status
                + " X\r\nX-Wigeonferry-Request-Id: "
                + requestId
                + "\r\nX-Wigeonferry-Server-Stamp: "
                + id
                + "\r\nX-Wigeonferry-Server-Load: "
                + running.get()
                + ",0,"
                + slots
                + "\r\n"
                + moreFields
                + "\r\n";
    }
}
