package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** Reads heads and bodies of HTTP/1.1 messages from a socket. */
public final class Wire {
    private Wire() {}

    /** Reads a head up to its empty line; empty if the peer closed before its first byte. */
    public static Optional<String> head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int ends = 0;
        while (ends < 2) {
            int next = in.read();
            if (next < 0) {
                if (head.size() == 0) {
                    return Optional.empty();
                }
                throw new IOException("closed within a head");
            }
            head.write(next);
            if (next == '\n') {
                ends++;
            } else if (next != '\r') {
                ends = 0;
            }
        }
        return Optional.of(head.toString(StandardCharsets.ISO_8859_1));
    }

    /** The value of a field; empty if the head lacks it. */
    public static Optional<String> field(String head, String name) {
        String start = name.toLowerCase(Locale.ROOT) + ":";
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith(start)) {
                return Optional.of(line.substring(start.length()).strip());
            }
        }
        return Optional.empty();
    }

    public static int length(String head) {
        return field(head, "Content-Length").map(Integer::parseInt).orElse(0);
    }

    public static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
