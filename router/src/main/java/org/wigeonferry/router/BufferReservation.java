package org.wigeonferry.router;

/**
 * The part of a {@link ResponseBudget} that one response holds.
 *
 * <p>Invariant: holds what the last size needs beyond {@link #FREE_BYTES}, and nothing once closed.
 * Thread safe.
 */
final class BufferReservation {
    /** Size up to which a response needs no reservation. */
    static final int FREE_BYTES = 64 << 10;

    private final ResponseBudget budget;
    private long heldBytes;
    private boolean closed;

    BufferReservation(ResponseBudget budget) {
        this.budget = budget;
    }

    /** Changes the size of the buffer; false, with no change, if the budget does not allow it. */
    synchronized boolean tryResize(int bytes) {
        long needed = Math.max(0, bytes - FREE_BYTES);
        if (closed || (needed > heldBytes && !budget.tryReserve(needed - heldBytes))) {
            return false;
        }
        if (needed < heldBytes) {
            budget.release(heldBytes - needed);
        }
        heldBytes = needed;
        return true;
    }

    /** Returns all that is held; does nothing if called again. */
    synchronized void close() {
        closed = true;
        budget.release(heldBytes);
        heldBytes = 0;
    }
}
