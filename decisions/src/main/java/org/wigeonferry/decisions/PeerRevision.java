package org.wigeonferry.decisions;

import org.wigeonferry.core_types.Revision;

/**
 * A process and the configuration revision that it is known to have.
 *
 * <p>Immutable and thread safe.
 *
 * @param peer the process
 * @param revision newest revision that the process reported
 */
public record PeerRevision(Peer peer, Revision revision) {}
