package org.wigeonferry.command_line.soak;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * What a caller got.
 *
 * <p>Immutable.
 *
 * @param status status; 0 if the connection ended before it
 * @param whole whether the answer came to its end
 * @param stamped whether an upstream signed it
 * @param body the body, without the framing
 */
record SoakAnswer(int status, boolean whole, boolean stamped, String body) {
    private static final SoakAnswer NONE = new SoakAnswer(0, false, false, "");
    private static final String HEAD_END = "\r\n\r\n";

    /** Reads the bytes of a connection that was closed after one answer. */
    static SoakAnswer parse(byte[] bytes) {
        String text = new String(bytes, StandardCharsets.ISO_8859_1);
        int end = text.indexOf(HEAD_END);
        if (end < 0) {
            return NONE;
        }
        String head = text.substring(0, end);
        String body = text.substring(end + HEAD_END.length());
        int status = Integer.parseInt(head.split(" ")[1]);
        boolean stamped = header(head, "X-Wigeonferry-Server-Stamp").isPresent();
        if (header(head, "Transfer-Encoding").isPresent()) {
            return chunked(status, stamped, body);
        }
        int length = header(head, "Content-Length").map(Integer::parseInt).orElse(-1);
        return new SoakAnswer(status, body.length() == length, stamped, body);
    }

    /** Whether the router says that the request did not run. */
    boolean saysNotRun() {
        return !stamped && whole && body.contains("\"not_run\":true");
    }

    private static SoakAnswer chunked(int status, boolean stamped, String body) {
        StringBuilder joined = new StringBuilder();
        String rest = body;
        while (true) {
            int line = rest.indexOf("\r\n");
            if (line < 0) {
                return new SoakAnswer(status, false, stamped, joined.toString());
            }
            int size = Integer.parseInt(rest.substring(0, line), 16);
            int from = line + 2;
            if (size == 0) {
                return new SoakAnswer(status, true, stamped, joined.toString());
            }
            if (rest.length() < from + size + 2) {
                joined.append(rest.substring(from));
                return new SoakAnswer(status, false, stamped, joined.toString());
            }
            joined.append(rest, from, from + size);
            rest = rest.substring(from + size + 2);
        }
    }

    private static Optional<String> header(String head, String name) {
        return head.lines()
                .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst();
    }
}
