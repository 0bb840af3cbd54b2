package org.wigeonferry.routing;

/**
 * The state of a roll-out as it stands in the store.
 *
 * <p>Immutable and thread safe.
 *
 * @param release the release that the status speaks of
 * @param revision version of the status in the store
 */
public record RollOutStatus(String service, String release, RollOutState state, long revision) {}
