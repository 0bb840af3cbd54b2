package org.wigeonferry.node_runtime.ingress;

import org.eclipse.jetty.server.Request;

/**
 * The memory that one request holds until its response is complete.
 *
 * <p>Invariant: holds nothing once closed. Thread safe.
 */
public final class RequestHold {
    private static final String ATTRIBUTE = RequestHold.class.getName();

    private final GuardedConnection connection;
    private long heldBytes;
    private boolean closed;

    RequestHold(GuardedConnection connection, long headBytes) {
        this.connection = connection;
        heldBytes = headBytes;
    }

    /** The memory of a request that came through an {@link IngressHandler}. */
    static RequestHold of(Request request) {
        return (RequestHold) request.getAttribute(ATTRIBUTE);
    }

    void attach(Request request) {
        request.setAttribute(ATTRIBUTE, this);
    }

    GuardedConnection connection() {
        return connection;
    }

    /** Holds more; false, with no change, if the process has no room for it. */
    boolean tryAdd(long bytes) {
        if (!connection.tryHold(bytes)) {
            return false;
        }
        synchronized (this) {
            if (!closed) {
                heldBytes += bytes;
                return true;
            }
        }
        connection.release(bytes);
        return false;
    }

    void remove(long bytes) {
        synchronized (this) {
            if (closed) {
                return;
            }
            heldBytes -= bytes;
        }
        connection.release(bytes);
    }

    void close() {
        long bytes;
        synchronized (this) {
            closed = true;
            bytes = heldBytes;
            heldBytes = 0;
        }
        connection.release(bytes);
    }
}
