package org.wigeonferry.router;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of one response within the memory of all responses.
 *
 * <p>Invariant: what the array holds is reserved; holds nothing once discarded, although timers may
 * keep the send until they end. Thread safe.
 */
final class ResponseBuffer {
    private static final int FIRST_BYTES = 4 << 10;

    private final int maxBytes;
    private final BufferReservation reservation;
    private byte[] bytes = new byte[0];
    private int size;
    private long declaredBytes;
    private boolean discarded;

    ResponseBuffer(int maxBytes, BufferReservation reservation) {
        this.maxBytes = maxBytes;
        this.reservation = reservation;
        declaredBytes = maxBytes;
    }

    /** Limits the memory to what a response has declared; negative if it declares no length. */
    synchronized void declareLength(long length) {
        declaredBytes = length < 0 ? maxBytes : Math.min(length, maxBytes);
    }

    /** Adds bytes; false if the body or the memory of all responses becomes too large. */
    synchronized boolean tryAppend(ByteBuffer piece) {
        int count = piece.remaining();
        if (discarded || count > maxBytes - size || !makeRoom(size + count)) {
            return false;
        }
        piece.get(bytes, size, count);
        size += count;
        return true;
    }

    private boolean makeRoom(int needed) {
        if (needed <= bytes.length) {
            return true;
        }
        int doubled = (int) Math.min(declaredBytes, Math.max(FIRST_BYTES, 2L * size));
        int capacity = Math.max(needed, doubled);
        if (!reservation.tryResize(capacity)) {
            return false;
        }
        bytes = Arrays.copyOf(bytes, capacity);
        return true;
    }

    synchronized int size() {
        return size;
    }

    /** The body; the buffer then holds nothing. */
    synchronized byte[] take() {
        byte[] body = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        discard();
        return body;
    }

    synchronized void discard() {
        discarded = true;
        bytes = new byte[0];
        size = 0;
    }
}
