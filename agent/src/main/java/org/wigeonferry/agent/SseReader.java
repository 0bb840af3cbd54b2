package org.wigeonferry.agent;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.wigeonferry.core_types.StepException;

/**
 * Cuts a stream of server-sent events into the data of each event.
 *
 * <p>Invariant: holds at most {@link #MAX_LINE_BYTES} of a line that is not whole yet. Not thread
 * safe; one reader belongs to one stream.
 */
final class SseReader {
    /** Longest line in bytes. */
    static final int MAX_LINE_BYTES = 1 << 20;

    private static final String DATA = "data:";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();

    /** Takes the next bytes and returns the data of the events that are now whole. */
    List<String> readEvents(ByteBuffer bytes) throws StepException {
        List<String> events = new ArrayList<>();
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (next != '\n') {
                line.write(next);
                requireBounded();
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8).strip();
            line.reset();
            if (text.startsWith(DATA)) {
                events.add(text.substring(DATA.length()).strip());
            }
        }
        return events;
    }

    private void requireBounded() throws StepException {
        if (line.size() > MAX_LINE_BYTES) {
            throw new StepException("read event", "upstream", "line longer than the bound");
        }
    }
}
