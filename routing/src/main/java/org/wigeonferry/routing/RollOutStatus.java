package org.wigeonferry.routing;

/**
 * A roll-out's state as read from the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param release the new release of the roll-out
 * @param revision version of the status row in the store
 */
public record RollOutStatus(String service, String release, RollOutState state, long revision) {}
