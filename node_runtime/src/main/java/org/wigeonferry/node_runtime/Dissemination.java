package org.wigeonferry.node_runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;

/**
 * Strategies for pushing updates to peers; docs/CAPACITY.md compares them.
 *
 * <p>Stateless and thread safe.
 */
public final class Dissemination {
    private Dissemination() {}

    /** Pushes to no peer; updates spread by the periodic exchanges only. */
    public static PushTargetSelector noPush() {
        return (peers, ownZone, nowNanos) -> List.of();
    }

    /** Flat gossip: pushes to {@code fanout} random peers of any availability zone. */
    public static PushTargetSelector randomFanout(int fanout) {
        return (peers, ownZone, nowNanos) -> peers.pickUpTo(fanout, nowNanos);
    }

    /**
     * Pushes to every peer in the zone of this process and to one peer in each other zone. A peer
     * that gets a new revision does the same, so the update floods its zone, too.
     */
    public static PushTargetSelector zoneFlood() {
        return (peers, ownZone, nowNanos) -> {
            List<Peer> targets = new ArrayList<>();
            Map<ZoneId, Peer> peerByOtherZone = new HashMap<>();
            for (Peer peer : peers.pickUpTo(Integer.MAX_VALUE, nowNanos)) {
                if (peer.zone().equals(ownZone)) {
                    targets.add(peer);
                } else {
                    peerByOtherZone.putIfAbsent(peer.zone(), peer);
                }
            }
            targets.addAll(peerByOtherZone.values());
            return targets;
        };
    }
}
