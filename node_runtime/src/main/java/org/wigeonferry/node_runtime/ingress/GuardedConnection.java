package org.wigeonferry.node_runtime.ingress;

import java.time.Duration;

/**
 * A caller's connection as {@link Ingress} sees it: its progress and the memory of its requests.
 *
 * <p>Invariant: holds nothing once closed. Thread safe; its monitor is never held while a call
 * leaves this object.
 */
final class GuardedConnection {
    private final Ingress ingress;
    private final Runnable closer;
    private ConnectionPhase phase = ConnectionPhase.IDLE;
    private long phaseStartNanos;
    private long phaseBytes;
    private long lastByteNanos;
    private boolean writeBlocked;
    private long blockedSinceNanos;
    private long blockedBytes;
    private long heldBytes;
    private int requests;

    /**
     * Whether bytes were received since the last request line. If not, the next request line was
     * read together with the one before, ahead of the response to that.
     */
    private boolean receivedSinceRequestLine;

    private int pipelinedRequests;
    private boolean closed;

    /**
     * Creates a connection.
     *
     * @param closer closes the connection; does not block
     */
    GuardedConnection(Ingress ingress, Runnable closer, long nowNanos) {
        this.ingress = ingress;
        this.closer = closer;
        phaseStartNanos = nowNanos;
        lastByteNanos = nowNanos;
    }

    Ingress ingress() {
        return ingress;
    }

    synchronized void onReceived(int bytes, long nowNanos) {
        if (phase == ConnectionPhase.IDLE) {
            enter(ConnectionPhase.HEAD, nowNanos);
        }
        phaseBytes += bytes;
        lastByteNanos = nowNanos;
        receivedSinceRequestLine = true;
    }

    /** Records a write: how much the kernel took, and whether it took everything. */
    synchronized void onSent(long bytes, boolean complete, long nowNanos) {
        if (bytes > 0) {
            lastByteNanos = nowNanos;
            blockedBytes += bytes;
        }
        if (!complete && !writeBlocked) {
            blockedSinceNanos = nowNanos;
            blockedBytes = 0;
        }
        writeBlocked = !complete;
    }

    /** Records a request line; returns how many requests came ahead of responses so far. */
    synchronized int onHeadStart(long nowNanos) {
        if (!receivedSinceRequestLine) {
            pipelinedRequests++;
        }
        receivedSinceRequestLine = false;
        if (phase != ConnectionPhase.HEAD) {
            enter(ConnectionPhase.HEAD, nowNanos);
        }
        return pipelinedRequests;
    }

    synchronized void onRequest(long nowNanos) {
        requests++;
        enter(ConnectionPhase.HANDLING, nowNanos);
    }

    synchronized void onRequestEnd(long nowNanos) {
        requests--;
        enter(requests == 0 ? ConnectionPhase.IDLE : ConnectionPhase.HANDLING, nowNanos);
    }

    synchronized void onBodyStart(long nowNanos) {
        enter(ConnectionPhase.BODY, nowNanos);
    }

    synchronized void onBodyEnd(long nowNanos) {
        if (phase == ConnectionPhase.BODY) {
            enter(ConnectionPhase.HANDLING, nowNanos);
        }
    }

    private void enter(ConnectionPhase next, long nowNanos) {
        phase = next;
        phaseStartNanos = nowNanos;
        phaseBytes = 0;
        lastByteNanos = nowNanos;
    }

    synchronized ConnectionProgress progress(long nowNanos) {
        return new ConnectionProgress(
                phase,
                Duration.ofNanos(nowNanos - phaseStartNanos),
                phaseBytes,
                Duration.ofNanos(nowNanos - lastByteNanos),
                writeBlocked,
                Duration.ofNanos(nowNanos - blockedSinceNanos),
                blockedBytes,
                heldBytes);
    }

    /** Holds memory for a request; false, with no change, if the process has no room for it. */
    boolean tryHold(long bytes) {
        if (!ingress.tryReserve(this, bytes)) {
            return false;
        }
        synchronized (this) {
            if (!closed) {
                heldBytes += bytes;
                return true;
            }
        }
        ingress.release(bytes);
        return false;
    }

    void release(long bytes) {
        synchronized (this) {
            if (closed) {
                return;
            }
            heldBytes -= bytes;
        }
        ingress.release(bytes);
    }

    /** Closes the connection. */
    void close() {
        releaseAll();
        closer.run();
    }

    /** Returns all that is held; does nothing if called again. */
    void releaseAll() {
        long bytes;
        synchronized (this) {
            closed = true;
            bytes = heldBytes;
            heldBytes = 0;
        }
        ingress.release(bytes);
    }
}
