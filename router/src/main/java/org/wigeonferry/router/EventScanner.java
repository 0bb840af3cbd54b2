package org.wigeonferry.router;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at the ends of events.
 *
 * <p>Invariant: what {@link #append} returns ends with a complete event; an incomplete event is
 * buffered. Not thread safe.
 */
final class EventScanner {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] incompleteEvent = new byte[0];
    private Optional<String> lastId = Optional.empty();
    private int eventCount;

    /** Appends bytes and returns the events that are now complete; empty if there are none. */
    ByteBuffer append(ByteBuffer more) {
        byte[] all = join(incompleteEvent, more);
        int completeLength = scanCompleteEvents(all);
        incompleteEvent = tail(all, completeLength);
        return ByteBuffer.wrap(all, 0, completeLength);
    }

    /** Id of the last complete event that had one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Number of complete events so far. */
    int eventCount() {
        return eventCount;
    }

    /** Whether the start of an event is buffered whose end has not arrived. */
    boolean hasIncompleteEvent() {
        return incompleteEvent.length > 0;
    }

    private int scanCompleteEvents(byte[] all) {
        int completeLength = 0;
        int lineStart = 0;
        Optional<String> id = Optional.empty();
        for (int i = 0; i < all.length; i++) {
            if (all[i] != '\n') {
                continue;
            }
            int lineEnd = i > lineStart && all[i - 1] == '\r' ? i - 1 : i;
            if (lineEnd == lineStart) {
                completeLength = i + 1;
                eventCount++;
                lastId = id.or(this::lastId);
                id = Optional.empty();
            } else if (startsWithId(all, lineStart, lineEnd)) {
                id = Optional.of(idValue(all, lineStart, lineEnd));
            }
            lineStart = i + 1;
        }
        return completeLength;
    }

    private static boolean startsWithId(byte[] all, int from, int to) {
        return to - from >= ID_FIELD.length
                && all[from] == ID_FIELD[0]
                && all[from + 1] == ID_FIELD[1]
                && all[from + 2] == ID_FIELD[2];
    }

    private static String idValue(byte[] all, int from, int to) {
        int start = from + ID_FIELD.length;
        return new String(all, start, to - start, StandardCharsets.UTF_8).strip();
    }

    private static byte[] join(byte[] incompleteEvent, ByteBuffer more) {
        ByteArrayOutputStream out =
                new ByteArrayOutputStream(incompleteEvent.length + more.remaining());
        out.write(incompleteEvent, 0, incompleteEvent.length);
        byte[] bytes = new byte[more.remaining()];
        more.get(bytes);
        out.write(bytes, 0, bytes.length);
        return out.toByteArray();
    }

    private static byte[] tail(byte[] all, int from) {
        return Arrays.copyOfRange(all, from, all.length);
    }
}
