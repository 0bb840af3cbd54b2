package org.wigeonferry.decisions;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ZoneId;

/**
 * Tells when a committed revision is accepted: more than half of the availability zones hold it.
 *
 * <p>From then on the live processes can't lose it while the store is down: whoever admits work
 * without the store hears from more than half of the zones, so from one that holds it. Stateless
 * and thread safe.
 */
public final class Acceptance {
    private Acceptance() {}

    /** Zones in which a process is known to hold the revision. */
    public static Set<ZoneId> zonesHolding(
            ZoneId own, Collection<PeerRevision> holders, Revision revision) {
        Set<ZoneId> zones = new HashSet<>();
        zones.add(own);
        holders.stream()
                .filter(holder -> !holder.revision().isBefore(revision))
                .map(holder -> holder.peer().zone())
                .forEach(zones::add);
        return zones;
    }

    /** Tells whether the holding zones are more than half of all. */
    public static boolean isMajority(Set<ZoneId> holding, Set<ZoneId> all) {
        long count = all.stream().filter(holding::contains).count();
        return count * 2 > all.size();
    }

    /** Processes that are known not to hold the revision yet. */
    public static List<PeerRevision> peersBehind(
            Collection<PeerRevision> holders, Revision revision) {
        return holders.stream().filter(holder -> holder.revision().isBefore(revision)).toList();
    }
}
