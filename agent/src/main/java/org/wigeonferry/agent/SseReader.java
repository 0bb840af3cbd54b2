package org.wigeonferry.agent;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.StepException;

/**
 * Parses a stream of server-sent events. Returns each data line as an event of its own and ignores
 * all other fields.
 *
 * <p>Invariant: holds at most {@link #MAX_LINE_BYTES} of an incomplete line. Not thread safe; one
 * reader belongs to one stream.
 */
final class SseReader {
    /** Maximum length of a line in bytes. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final String DATA_FIELD_PREFIX = "data:";

    private final ByteArrayOutputStream partialLine = new ByteArrayOutputStream();

    /**
     * Parses the next bytes; returns the data of the events that they complete.
     *
     * @throws StepException if a line is longer than {@link #MAX_LINE_BYTES}
     */
    List<String> readEvents(ByteBuffer bytes) throws StepException {
        List<String> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next != '\n') {
                partialLine.write(next);
                requireLineWithinLimit();
                continue;
            }
            String line = partialLine.toString(StandardCharsets.UTF_8).strip();
            partialLine.reset();
            if (line.startsWith(DATA_FIELD_PREFIX)) {
                events.add(line.substring(DATA_FIELD_PREFIX.length()).strip());
            }
        }
        return events;
    }

    private void requireLineWithinLimit() throws StepException {
        if (partialLine.size() > MAX_LINE_BYTES) {
            throw new StepException(
                    "read event", "upstream", "line of the event stream is longer than 1 MiB");
        }
    }
}
