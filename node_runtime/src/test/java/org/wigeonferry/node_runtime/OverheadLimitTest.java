package org.wigeonferry.node_runtime;

import static org.assertj.core.api.Assertions.assertThatIOException;

import java.io.IOException;
import org.junit.jupiter.api.Test;

class OverheadLimitTest {
    private static final int FILL_BYTES = 16 << 10;

    private final OverheadLimit limit = new OverheadLimit();

    @Test
    void contentMayBeOfAnyLength() throws IOException {
        for (int i = 0; i < 10_000; i++) {
            limit.onRead(FILL_BYTES);
            limit.onContent(FILL_BYTES);
        }
    }

    /** An event stream in chunks of one byte each: six bytes read for one of content. */
    @Test
    void smallChunksAreNoOverhead() throws IOException {
        for (int i = 0; i < 100_000; i++) {
            limit.onRead(6);
            limit.onContent(1);
        }
    }

    @Test
    void bytesWithoutContentFail() throws IOException {
        for (int i = 0; i < 4; i++) {
            limit.onRead(FILL_BYTES);
        }
        assertThatIOException().isThrownBy(() -> limit.onRead(1));
    }

    @Test
    void extensionsThatAreLongerThanTheirChunksFail() {
        assertThatIOException()
                .isThrownBy(
                        () -> {
                            for (int i = 0; i < 10_000; i++) {
                                limit.onRead(60);
                                limit.onContent(1);
                            }
                        });
    }
}
