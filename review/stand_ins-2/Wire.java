import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 heads and bodies on streams, as far as the stand-ins need them. */
final class Wire {
    private Wire() {}

    /** A start line with its header fields, whose names are in lower case. */
    record Head(String start, Map<String, String> fields) {
        String part(int index) {
            String[] parts = start.split(" ", 3);
            return index < parts.length ? parts[index] : "";
        }

        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    /** Reads a head; null at the end of the connection. */
    static Head readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = readLine(in); line != null; line = readLine(in)) {
            if (line.isEmpty()) {
                return new Head(start, fields);
            }
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.put(
                        line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).strip());
            }
        }
        return null;
    }

    /** Reads the body of a request, which has a length, chunks or no body. */
    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.field("transfer-encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            return readChunks(in);
        }
        String length = head.field("content-length");
        return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
    }

    static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new IOException("ended between chunks");
            }
            int size = Integer.parseInt(line.split(";")[0].strip(), 16);
            out.write(readExactly(in, size));
            readLine(in);
            if (size == 0) {
                return out.toByteArray();
            }
        }
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new IOException("ended after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        if (line.size() > 0) {
            throw new IOException("ended within a line");
        }
        return null;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
