package org.wigeonferry.routing;

import java.util.List;

/**
 * The last report of a router on what it has under way.
 *
 * <p>Immutable and thread safe.
 *
 * @param receivedNanos when it arrived, on the monotonic clock
 */
record PeerReport(long sequence, List<OwnLoad> loads, long receivedNanos) {}
