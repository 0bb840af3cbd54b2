package org.wigeonferry.router.connections;

/**
 * A connection that serves no request.
 *
 * <p>Immutable and thread safe.
 *
 * @param endNanos time from which it is not used any more, by {@link System#nanoTime}
 */
record IdleConnection<C>(C connection, long endNanos) {
    boolean isUsable(long nowNanos) {
        return endNanos - nowNanos > 0;
    }
}
