package org.wigeonferry.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of events.
 *
 * <p>Invariant: what {@link #append} returns ends with a whole event; the rest waits. Not thread
 * safe.
 */
final class EventScanner {
    private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] rest = new byte[0];
    private Optional<String> lastId = Optional.empty();
    private int eventCount;

    /** Takes bytes; returns the whole events that are there now. */
    ByteBuffer append(ByteBuffer more) {
        byte[] all = join(rest, more);
        int whole = wholeEvents(all);
        rest = tail(all, whole);
        return ByteBuffer.wrap(all, 0, whole);
    }

    /** Id of the last whole event that had one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Whole events so far. */
    int eventCount() {
        return eventCount;
    }

    /** Whether part of an event waits for its end. */
    boolean hasIncompleteEvent() {
        return rest.length > 0;
    }

    private int wholeEvents(byte[] all) {
        int whole = 0;
        int line = 0;
        Optional<String> id = Optional.empty();
        for (int i = 0; i < all.length; i++) {
            if (all[i] != '\n') {
                continue;
            }
            int end = i > line && all[i - 1] == '\r' ? i - 1 : i;
            if (end == line) {
                whole = i + 1;
                eventCount++;
                lastId = id.or(this::lastId);
                id = Optional.empty();
            } else if (startsWithId(all, line, end)) {
                id = Optional.of(idValue(all, line, end));
            }
            line = i + 1;
        }
        return whole;
    }

    private static boolean startsWithId(byte[] all, int from, int to) {
        return to - from >= ID.length
                && all[from] == ID[0]
                && all[from + 1] == ID[1]
                && all[from + 2] == ID[2];
    }

    private static String idValue(byte[] all, int from, int to) {
        int start = from + ID.length;
        return new String(all, start, to - start, StandardCharsets.UTF_8).strip();
    }

    private static byte[] join(byte[] rest, ByteBuffer more) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(rest.length + more.remaining());
        out.write(rest, 0, rest.length);
        byte[] bytes = new byte[more.remaining()];
        more.get(bytes);
        out.write(bytes, 0, bytes.length);
        return out.toByteArray();
    }

    private static byte[] tail(byte[] all, int from) {
        return Arrays.copyOfRange(all, from, all.length);
    }
}
