package org.wigeonferry.command_line.ingress;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Writes heads and bodies.
 *
 * <p>Stateless and thread safe.
 */
final class Pieces {
    private Pieces() {}

    static void writeText(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes a body in pieces. */
    static void writeBody(OutputStream out, long bytes, int pieceBytes) throws IOException {
        byte[] piece = new byte[pieceBytes];
        for (long left = bytes; left > 0; left -= pieceBytes) {
            out.write(piece, 0, (int) Math.min(left, pieceBytes));
            out.flush();
        }
    }

    /** Writes a body in chunks, without the last chunk. */
    static void writeOpenChunks(OutputStream out, long bytes, int chunkBytes) throws IOException {
        byte[] size =
                (Integer.toHexString(chunkBytes) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] end = "\r\n".getBytes(StandardCharsets.US_ASCII);
        byte[] chunk = new byte[size.length + chunkBytes + end.length];
        System.arraycopy(size, 0, chunk, 0, size.length);
        System.arraycopy(end, 0, chunk, size.length + chunkBytes, end.length);
        for (long sent = 0; sent + chunkBytes <= bytes; sent += chunkBytes) {
            out.write(chunk);
        }
        out.flush();
    }

    /** Very many short fields. */
    static String shortFields(int count) {
        return "a:\r\n".repeat(count);
    }
}
