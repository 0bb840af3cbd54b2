package org.wigeonferry.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Test;

class EventScannerTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid:4\ndata: d\n\n";

    private final EventScanner scanner = new EventScanner();

    @Test
    void incompleteEventIsBuffered() {
        assertThat(scan("id: 1\ndata: a\n\nid: 2\ndata")).isEqualTo("id: 1\ndata: a\n\n");
        assertThat(scanner.lastId()).contains("1");
        assertThat(scanner.hasIncompleteEvent()).isTrue();
        assertThat(scan(": b\n\n")).isEqualTo("id: 2\ndata: b\n\n");
        assertThat(scanner.lastId()).contains("2");
        assertThat(scanner.hasIncompleteEvent()).isFalse();
    }

    @Test
    void eventWithoutIdKeepsThePreviousId() {
        scan(STREAM.substring(0, STREAM.indexOf("id:4")));
        assertThat(scanner.lastId()).contains("2");
        assertThat(scanner.eventCount()).isEqualTo(3);
    }

    /** Scanning all of an event again at each of its bytes would take minutes. */
    @Test
    void eventThatArrivesByteByByteIsScannedOnce() {
        for (int i = 0; i < 1 << 20; i++) {
            scan("x");
        }
        assertThat(scanner.incompleteEventBytes()).isEqualTo(1 << 20);
        assertThat(scan("\n\n")).hasSize((1 << 20) + 2);
    }

    @Test
    void resultDoesNotDependOnChunkBoundaries() {
        for (long seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            EventScanner chunkScanner = new EventScanner();
            StringBuilder out = new StringBuilder();
            int at = 0;
            while (at < STREAM.length()) {
                int next = Math.min(STREAM.length(), at + 1 + random.nextInt(9));
                out.append(text(chunkScanner.append(bytes(STREAM.substring(at, next)))));
                assertThat(out.toString())
                        .satisfiesAnyOf(
                                s -> assertThat(s).isEmpty(),
                                s -> assertThat(s).matches("(?s).*\\r?\\n\\r?\\n"));
                at = next;
            }
            assertThat(out.toString()).isEqualTo(STREAM);
            assertThat(chunkScanner.lastId()).contains("4");
            assertThat(chunkScanner.eventCount()).isEqualTo(4);
        }
    }

    private String scan(String text) {
        return text(scanner.append(bytes(text)));
    }

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String text(ByteBuffer bytes) {
        return StandardCharsets.UTF_8.decode(bytes).toString();
    }
}
