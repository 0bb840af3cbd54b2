package org.wigeonferry.decisions;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ZoneId;

/**
 * Tells whether a revision is accepted, that is held by a majority of the availability zones.
 *
 * <p>A revision is committed once the store has it, and accepted later. An accepted revision stays
 * known to the live processes while the store is down: a process then admits work only after
 * reports from a majority of the zones. Any two majorities share a zone, so at least one report
 * comes from a zone that holds the revision. Stateless and thread safe.
 */
public final class Acceptance {
    private Acceptance() {}

    /**
     * Returns the zones in which a process is known to have the revision, and always the own zone:
     * the caller must have the revision itself.
     */
    public static Set<ZoneId> zonesHolding(
            ZoneId ownZone, Collection<PeerRevision> peerRevisions, Revision revision) {
        Set<ZoneId> zones = new HashSet<>();
        zones.add(ownZone);
        peerRevisions.stream()
                .filter(peerRevision -> !peerRevision.revision().isBefore(revision))
                .map(peerRevision -> peerRevision.peer().zone())
                .forEach(zones::add);
        return zones;
    }

    /** Tells whether more than half of all zones hold the revision. */
    public static boolean isMajority(Set<ZoneId> holdingZones, Set<ZoneId> allZones) {
        long count = allZones.stream().filter(holdingZones::contains).count();
        return count * 2 > allZones.size();
    }

    /** Returns the peers whose last known revision is older than the given one. */
    public static List<PeerRevision> peersBehind(
            Collection<PeerRevision> peerRevisions, Revision revision) {
        return peerRevisions.stream()
                .filter(peerRevision -> peerRevision.revision().isBefore(revision))
                .toList();
    }
}
