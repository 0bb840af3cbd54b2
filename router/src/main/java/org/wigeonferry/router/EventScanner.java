package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at the ends of events.
 *
 * <p>Invariant: what {@link #append} returns ends with a complete event; an incomplete event is
 * buffered. Each byte is scanned once, however many pieces an event arrives in. Not thread safe.
 */
final class EventScanner {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private byte[] buffer = new byte[0];
    private int length;
    private int scanned;
    private int lineStart;
    private Optional<String> idOfIncompleteEvent = Optional.empty();
    private Optional<String> lastId = Optional.empty();
    private int eventCount;

    /** Appends bytes and returns the events that are now complete; empty if there are none. */
    ByteBuffer append(ByteBuffer more) {
        add(more);
        int completeLength = scanCompleteEvents();
        ByteBuffer complete = ByteBuffer.wrap(Arrays.copyOf(buffer, completeLength));
        discard(completeLength);
        return complete;
    }

    /** Id of the last complete event that had one. */
    Optional<String> lastId() {
        return lastId;
    }

    /** Number of complete events so far. */
    int eventCount() {
        return eventCount;
    }

    /** Size of the buffered start of an event whose end has not arrived, in bytes. */
    int incompleteEventBytes() {
        return length;
    }

    /** Whether the start of an event is buffered whose end has not arrived. */
    boolean hasIncompleteEvent() {
        return length > 0;
    }

    private void add(ByteBuffer more) {
        int newLength = length + more.remaining();
        if (newLength > buffer.length) {
            // Doubling keeps the cost of an event that arrives in many pieces linear.
            int capacity = length == 0 ? newLength : Math.max(newLength, 2 * buffer.length);
            buffer = Arrays.copyOf(buffer, capacity);
        }
        more.get(buffer, length, more.remaining());
        length = newLength;
    }

    private int scanCompleteEvents() {
        int completeLength = 0;
        for (int i = scanned; i < length; i++) {
            if (buffer[i] != '\n') {
                continue;
            }
            int lineEnd = i > lineStart && buffer[i - 1] == '\r' ? i - 1 : i;
            if (lineEnd == lineStart) {
                completeLength = i + 1;
                eventCount++;
                lastId = idOfIncompleteEvent.or(this::lastId);
                idOfIncompleteEvent = Optional.empty();
            } else if (startsWithId(lineStart, lineEnd)) {
                idOfIncompleteEvent = Optional.of(idValue(lineStart, lineEnd));
            }
            lineStart = i + 1;
        }
        scanned = length;
        return completeLength;
    }

    private void discard(int count) {
        if (count == 0) {
            return;
        }
        buffer = Arrays.copyOfRange(buffer, count, length);
        length -= count;
        scanned -= count;
        lineStart -= count;
    }

    private boolean startsWithId(int from, int to) {
        return to - from >= ID_FIELD.length
                && buffer[from] == ID_FIELD[0]
                && buffer[from + 1] == ID_FIELD[1]
                && buffer[from + 2] == ID_FIELD[2];
    }

    private String idValue(int from, int to) {
        int start = from + ID_FIELD.length;
        return new String(buffer, start, to - start, StandardCharsets.UTF_8).strip();
    }
}
