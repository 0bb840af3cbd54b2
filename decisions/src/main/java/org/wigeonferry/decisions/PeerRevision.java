package org.wigeonferry.decisions;

import org.wigeonferry.core_types.Revision;

/**
 * A process and the revision it is known to hold.
 *
 * <p>Immutable and thread safe.
 *
 * @param peer the process
 * @param revision newest revision it reported
 */
public record PeerRevision(Peer peer, Revision revision) {}
