package org.wigeonferry.router;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all responses that are buffered until they, or their next event, are
 * complete.
 *
 * <p>Handles the load of many upstreams that send bytes without end at the same time: each response
 * may hold a small buffer, and larger ones share a limit, so that they fail before the process runs
 * out of memory and before small responses are affected.
 *
 * <p>Invariant: at most {@code limitBytes} are reserved. Thread safe.
 */
final class ResponseBudget {
    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param limitBytes largest sum of the bytes that responses hold beyond their free ones
     */
    ResponseBudget(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Reserves bytes; reserves nothing and returns false if the sum would exceed the limit. */
    boolean tryReserve(long bytes) {
        if (reservedBytes.addAndGet(bytes) <= limitBytes) {
            return true;
        }
        reservedBytes.addAndGet(-bytes);
        return false;
    }

    /** Returns reserved bytes. */
    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    /** Whether half of the limit is reserved. */
    boolean isUnderPressure() {
        return reservedBytes.get() * 2 >= limitBytes;
    }

    /** Bytes that are reserved at present. */
    long reservedBytes() {
        return reservedBytes.get();
    }
}
