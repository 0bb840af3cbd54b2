package org.wigeonferry.node_runtime;

import java.util.List;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.KnownEntries;
import org.wigeonferry.decisions.Peer;

/**
 * Chooses the peers that are told of news at once.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface PushTargetSelector {
    /** Chooses among the peers of a process in a zone. */
    List<Peer> select(KnownEntries peers, ZoneId zone, long nowNanos);
}
