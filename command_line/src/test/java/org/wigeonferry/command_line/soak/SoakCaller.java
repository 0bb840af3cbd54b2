package org.wigeonferry.command_line.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.core_types.HostAddress;

/**
 * Sends one request on a connection of its own and reads until its answer is whole or it ends.
 *
 * <p>Stateless and thread safe.
 */
final class SoakCaller {
    private static final Logger LOG = LoggerFactory.getLogger(SoakCaller.class);
    private static final int CONNECT_MILLIS = 1000;
    private static final int READ_MILLIS = 12_000;

    private SoakCaller() {}

    static SoakCall send(
            SoakHistory history,
            HostAddress address,
            int router,
            String id,
            SoakKind kind,
            String key) {
        long sent = history.now();
        byte[] answer = exchange(address, request(id, kind, key));
        return new SoakCall(id, kind, key, router, sent, history.now(), SoakAnswer.parse(answer));
    }

    private static String request(String id, SoakKind kind, String key) {
        return (kind == SoakKind.LOOK ? "GET " : "POST ")
                + kind.path()
                + " HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 0\r\n"
                + "Authorization: Bearer "
                + key
                + "\r\nX-Wigeonferry-Request-Id: "
                + id
                + "\r\nX-Wigeonferry-Deadline-Ms: "
                + SoakChecks.PATIENCE
                + "\r\n\r\n";
    }

    /** Whatever came before the connection ended. */
    static byte[] exchange(HostAddress address, String request) {
        StringBuilder taken = new StringBuilder();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(address.host(), address.port()), CONNECT_MILLIS);
            socket.setSoTimeout(READ_MILLIS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            byte[] buffer = new byte[4096];
            int count = in.read(buffer);
            while (count >= 0) {
                taken.append(new String(buffer, 0, count, StandardCharsets.ISO_8859_1));
                boolean whole = SoakAnswer.parse(bytes(taken)).whole();
                count = whole ? -1 : in.read(buffer);
            }
        } catch (IOException e) {
            LOG.debug("connection to {} ended: {}", address, e.toString());
        }
        return bytes(taken);
    }

    private static byte[] bytes(StringBuilder text) {
        return text.toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
