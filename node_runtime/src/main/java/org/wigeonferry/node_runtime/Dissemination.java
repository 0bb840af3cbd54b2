package org.wigeonferry.node_runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonferry.core_types.ZoneId;
import org.wigeonferry.decisions.Peer;

/**
 * Ways to spread news; docs/CAPACITY.md compares them.
 *
 * <p>Stateless and thread safe.
 */
public final class Dissemination {
    private Dissemination() {}

    /** Tells nobody; peers learn by the steady exchange. */
    public static PushTargetSelector noPush() {
        return (peers, zone, nowNanos) -> List.of();
    }

    /** Flat gossip: tells a few peers at random, wherever they are. */
    public static PushTargetSelector randomFanout(int fanout) {
        return (peers, zone, nowNanos) -> peers.pickUpTo(fanout, nowNanos);
    }

    /** Floods the own zone and tells one peer of each other zone, which floods its own. */
    public static PushTargetSelector zoneFlood() {
        return (peers, zone, nowNanos) -> {
            List<Peer> targets = new ArrayList<>();
            Map<ZoneId, Peer> relays = new HashMap<>();
            for (Peer peer : peers.pickUpTo(Integer.MAX_VALUE, nowNanos)) {
                if (peer.zone().equals(zone)) {
                    targets.add(peer);
                } else {
                    relays.putIfAbsent(peer.zone(), peer);
                }
            }
            targets.addAll(relays.values());
            return targets;
        };
    }
}
