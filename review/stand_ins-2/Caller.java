import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client with one connection to a router. */
final class Caller implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(0x10000000L);

    /** What came back: status 0 if the connection ended before a whole head. */
    record Answer(int status, Wire.Head head, byte[] body, boolean complete, String failure) {}

    final Socket socket = new Socket();
    private InputStream in;

    Caller(int port, int timeoutMillis) throws IOException {
        socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        in = new BufferedInputStream(socket.getInputStream());
    }

    static String newId() {
        return Long.toHexString(IDS.incrementAndGet()) + "0a0b0c0d";
    }

    /** The head of a request, with a length unless that is negative. */
    static String head(String method, String path, String id, int deadlineMillis, long length, String more) {
        return method
                + " "
                + path
                + " HTTP/1.1\r\nHost: lab.example\r\nX-Wigeonferry-Request-Id: "
                + id
                + "\r\nX-Wigeonferry-Deadline-Ms: "
                + deadlineMillis
                + "\r\n"
                + (length < 0 ? "" : "Content-Length: " + length + "\r\n")
                + more
                + "\r\n";
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Reads one answer to its end. */
    Answer read() {
        Wire.Head head = null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            head = Wire.readHead(in);
            if (head == null) {
                return new Answer(0, null, new byte[0], false, "connection closed");
            }
            if (head.field("transfer-encoding").contains("chunked")) {
                body.write(Wire.readChunks(in));
            } else {
                body.write(Wire.readExactly(in, Integer.parseInt(head.field("content-length"))));
            }
            return new Answer(Integer.parseInt(head.part(1)), head, body.toByteArray(), true, "");
        } catch (IOException | NumberFormatException e) {
            int status = head == null ? 0 : Integer.parseInt(head.part(1));
            return new Answer(status, head, body.toByteArray(), false, String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
