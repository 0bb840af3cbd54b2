package org.wigeonferry.router.connections;

import org.wigeonferry.routing.RequestKind;

/**
 * Which connection a send uses, and whether it may be kept afterwards.
 *
 * <p>Immutable and thread safe.
 */
public enum ConnectionUse {
    /** A new connection, which is closed after the response. */
    NEW_AND_CLOSED(false, false),
    /** A new connection, which may be kept after the response. */
    NEW(false, true),
    /** An idle connection if there is one. */
    IDLE_OR_NEW(true, true);

    private final boolean mayBeIdle;
    private final boolean mayBeKept;

    ConnectionUse(boolean mayBeIdle, boolean mayBeKept) {
        this.mayBeIdle = mayBeIdle;
        this.mayBeKept = mayBeKept;
    }

    /**
     * Decides the use for a send. An idle connection may be lost without a response, so it is used
     * only if the request may run once more after that, and not a second time after such a loss.
     *
     * @param mayRunAgain whether the request may be sent again after this send
     * @param lostOnReuse whether an earlier send of the request was lost on an idle connection
     */
    public static ConnectionUse of(RequestKind kind, boolean mayRunAgain, boolean lostOnReuse) {
        if (!kind.isRepeatable()) {
            return NEW_AND_CLOSED;
        }
        return mayRunAgain && !lostOnReuse ? IDLE_OR_NEW : NEW;
    }

    /** Whether a connection that has served other requests may be used. */
    public boolean mayBeIdle() {
        return mayBeIdle;
    }

    /** Whether the connection may serve other requests afterwards. */
    public boolean mayBeKept() {
        return mayBeKept;
    }
}
