package org.wigeonferry.stand_ins;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * Reads the requests of stand-ins.
 *
 * <p>Stateless and thread safe.
 */
final class RequestReader {
    private static final String HEAD_END = "\r\n\r\n";

    private RequestReader() {}

    /** Reads the head of a request, up to and with its empty line. */
    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith(HEAD_END)) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("closed within the head");
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads the body of a request, of the length that its head declares. */
    static void readBody(String head, InputStream in) throws IOException {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                in.readNBytes(Integer.parseInt(line.substring(line.indexOf(':') + 1).strip()));
            }
        }
    }
}
