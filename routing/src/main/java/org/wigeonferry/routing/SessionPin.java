package org.wigeonferry.routing;

/**
 * The release that last served a session.
 *
 * <p>Immutable and thread safe.
 *
 * @param lastUsedNanos when the session's last request was sent or ended
 */
record SessionPin(String release, long lastUsedNanos) {}
