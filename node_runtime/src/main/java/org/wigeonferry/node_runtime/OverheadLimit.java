package org.wigeonferry.node_runtime;

import java.io.IOException;

/**
 * Bounds what a peer may send besides content: heads, chunk sizes, chunk extensions and trailers
 * without end, which an HTTP parser reads and discards for as long as they come.
 *
 * <p>Invariant: at most {@link #MAX_OVERHEAD_BYTES} are accepted without content between them.
 * Thread safe.
 */
public final class OverheadLimit {
    private static final int MAX_OVERHEAD_BYTES = 64 << 10;

    /** A chunk of a single byte has five bytes of framing or more. */
    private static final int OVERHEAD_PER_CONTENT_BYTE = 16;

    private long allowedBytes = MAX_OVERHEAD_BYTES;

    /** Records content among the bytes that were read. */
    public synchronized void onContent(int bytes) {
        long more = (long) bytes * (1 + OVERHEAD_PER_CONTENT_BYTE);
        allowedBytes = Math.min(MAX_OVERHEAD_BYTES, allowedBytes + more);
    }

    /** Records bytes that were read; fails if there are too many without content. */
    synchronized void onRead(int bytes) throws IOException {
        allowedBytes -= bytes;
        if (allowedBytes < 0) {
            throw new IOException(
                    "the peer sent over " + MAX_OVERHEAD_BYTES + " bytes without content");
        }
    }
}
