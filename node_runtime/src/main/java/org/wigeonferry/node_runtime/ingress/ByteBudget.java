package org.wigeonferry.node_runtime.ingress;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Bounds the memory of all requests that are incomplete or being served.
 *
 * <p>Handles the load of many callers that each hold a request of legal size open.
 *
 * <p>Invariant: at most {@code limitBytes} are reserved. Thread safe.
 */
final class ByteBudget {
    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    ByteBudget(long limitBytes) {
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

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }

    long reservedBytes() {
        return reservedBytes.get();
    }

    /** Whether half of the limit is used. */
    boolean isUnderPressure() {
        return reservedBytes.get() * 2 >= limitBytes;
    }
}
