package org.wigeonferry.command_line.soak;

/**
 * A time in which a router was disturbed: its process, its link to the store, or the store.
 *
 * <p>Immutable.
 */
record SoakSpan(int router, long fromMillis, long toMillis) {
    boolean touches(int other, long from, long to) {
        return router == other && fromMillis <= to && toMillis >= from;
    }
}
