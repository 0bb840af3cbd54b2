package org.wigeonferry.routing;

/**
 * The release that a session was last on.
 *
 * <p>Immutable and thread safe.
 */
record SessionPin(String release, long lastUsedNanos) {}
