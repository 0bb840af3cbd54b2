package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client of the platform, on a connection of its own for each request. */
public final class Caller {
    private static final AtomicLong NEXT_ID = new AtomicLong(1);

    /** Status 0: the connection ended without a whole answer. */
    public record Answer(int status, String head, byte[] body, boolean whole, String failure) {
        public String text() {
            return new String(body, java.nio.charset.StandardCharsets.ISO_8859_1);
        }
    }

    private Caller() {}

    /** A request id that no other request of this case has. */
    public static String newId() {
        return String.format("%016x", 0x5eed0000L + NEXT_ID.getAndIncrement());
    }

    public static Answer get(String address, String path, int timeoutMillis) throws IOException {
        return exchange(address, "GET " + path + " HTTP/1.1\r\nHost: ready\r\n\r\n", new byte[0], timeoutMillis);
    }

    /** Sends a request with a body and reads the answer. */
    public static Answer send(
            String address, String method, String target, String id, String fields, byte[] body, int deadlineMillis) {
        String head =
                method + " " + target + " HTTP/1.1\r\nHost: desk.example\r\nX-Wigeonferry-Request-Id: " + id
                        + "\r\nX-Wigeonferry-Deadline-Ms: " + deadlineMillis + "\r\n" + fields
                        + (body.length > 0 || method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "")
                        + "\r\n";
        try {
            return exchange(address, head, body, deadlineMillis + 2000);
        } catch (IOException e) {
            return new Answer(0, "", new byte[0], false, e.toString());
        }
    }

    private static Answer exchange(String address, String head, byte[] body, int timeoutMillis) throws IOException {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(Wire.ascii(head));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()));
        }
    }

    /** Reads an answer with a length, in chunks, or up to the end of the connection. */
    public static Answer read(InputStream in) throws IOException {
        String head = Wire.head(in).orElseThrow(() -> new IOException("closed without an answer"));
        int status = Integer.parseInt(head.split(" ")[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (Wire.field(head, "Transfer-Encoding").filter("chunked"::equalsIgnoreCase).isPresent()) {
                boolean whole = readChunks(in, body);
                return new Answer(status, head, body.toByteArray(), whole, whole ? "" : "ended within the chunks");
            }
            int length = Wire.length(head);
            while (body.size() < length) {
                byte[] part = in.readNBytes(Math.min(length - body.size(), 8192));
                if (part.length == 0) {
                    return new Answer(status, head, body.toByteArray(), false, "ended after " + body.size() + " of " + length + " bytes");
                }
                body.write(part);
            }
            return new Answer(status, head, body.toByteArray(), true, "");
        } catch (IOException e) {
            return new Answer(status, head, body.toByteArray(), false, e.toString());
        }
    }

    private static boolean readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            StringBuilder size = new StringBuilder();
            int next;
            while ((next = in.read()) != '\n') {
                if (next < 0) {
                    return false;
                }
                size.append((char) next);
            }
            int length = Integer.parseInt(size.toString().strip(), 16);
            byte[] bytes = in.readNBytes(length + 2);
            if (bytes.length < length + 2) {
                return false;
            }
            body.write(bytes, 0, length);
            if (length == 0) {
                return true;
            }
        }
    }
}
