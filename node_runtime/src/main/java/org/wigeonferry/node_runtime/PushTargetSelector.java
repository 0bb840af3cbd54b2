package org.wigeonferry.node_runtime;

import java.util.List;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.KnownEntries;
import org.wigeonferry.decisions.Peer;

/**
 * Selects the peers to which an update is pushed at once.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface PushTargetSelector {
    /** Selects from the peers known to this process, which is in the given zone. */
    List<Peer> select(KnownEntries peers, ZoneId ownZone, long nowNanos);
}
