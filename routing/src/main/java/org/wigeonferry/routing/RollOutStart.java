package org.wigeonferry.routing;

/**
 * When a roll-out started, as recorded in the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param orderRevision revision of the roll-out order that the start belongs to
 * @param startNanos on the monotonic clock of this process; may be before its own start
 */
public record RollOutStart(String service, long orderRevision, long startNanos) {}
