package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.routing.room.CapacityDivision;
import org.wigeonferry.routing.room.HeldLoad;
import org.wigeonferry.routing.room.RoomView;
import org.wigeonferry.routing.room.UpstreamCapacity;
import org.wigeonferry.routing.room.UpstreamRoom;
import org.wigeonferry.routing.room.ZoneRouters;

/**
 * Tells which upstreams have room for a job, from what this router, its peers and the upstreams
 * themselves say of their load.
 *
 * <p>Owned by the control thread.
 */
final class RoomRules {
    /**
     * Time in which sends of other routers may not be known. Sends that take tokens are reported at
     * once; if that report is lost, the next one follows in 200 ms.
     */
    static final Duration MAX_REPORT_AGE = Duration.ofMillis(250);

    private final String zone;
    private final PeerLoads peerLoads;
    private final Map<Integer, RecentTokens> recentTokens = new HashMap<>();

    /** Derived from the values below; cleared when one of them may have changed. */
    private final Map<Integer, UpstreamRoom> rooms = new HashMap<>();

    /** Grants by upstream; cleared when the live routers or the capacities have changed. */
    private final Map<Integer, Integer> grants = new HashMap<>();

    private LiveRouters routers;
    private int zoneRouterCount = 1;
    private int heardRouterCount;

    RoomRules(String zone, PeerLoads peerLoads, LiveRouters routers) {
        this.zone = zone;
        this.peerLoads = peerLoads;
        this.routers = routers;
    }

    void setLiveRouters(LiveRouters newRouters) {
        if (!newRouters.equals(routers)) {
            routers = newRouters;
            grants.clear();
            rooms.clear();
        }
    }

    /** Sets the number of live routers of this router's zone, this one included. */
    void setZoneRouterCount(int count) {
        zoneRouterCount = count;
        rooms.clear();
    }

    /** Records that the capacity of upstreams may have changed. */
    void onCapacityChange() {
        grants.clear();
        rooms.clear();
    }

    void onSend(Send send, long nowNanos) {
        recentTokens
                .computeIfAbsent(
                        Hashes.key(send.upstream().id()), key -> new RecentTokens(MAX_REPORT_AGE))
                .add(send.heldTokens(), nowNanos);
    }

    /** Forgets the sends to upstreams that are old. */
    void removeExpired(long nowNanos) {
        recentTokens.values().removeIf(tokens -> tokens.sum(nowNanos) == 0);
    }

    /** Whether an upstream has room for a job now. */
    boolean hasRoom(UpstreamState upstream, Job job, long nowNanos) {
        return roomOf(upstream).fits(viewOf(upstream, nowNanos), job.request().maxTokens());
    }

    /** Whether an upstream would have room for a job if nothing else were there. */
    boolean canHaveRoom(UpstreamState upstream, Job job, long nowNanos) {
        return roomOf(upstream).canEverFit(job.request().maxTokens());
    }

    private RoomView viewOf(UpstreamState upstream, long nowNanos) {
        int key = upstream.key();
        RecentTokens recent = recentTokens.get(key);
        OwnLoad silent = peerLoads.silentPeers().sum(key);
        return new RoomView(
                new HeldLoad(upstream.runningSends(), upstream.heldTokens()),
                recent == null ? 0 : recent.sum(nowNanos),
                new HeldLoad(peerLoads.runningSends(key), peerLoads.heldTokens(key)),
                new HeldLoad(silent.runningSends(), silent.heldTokens()),
                upstream.reportedRequestsOfOthers(nowNanos));
    }

    private UpstreamRoom roomOf(UpstreamState upstream) {
        if (heardRouterCount != peerLoads.routerCount()) {
            heardRouterCount = peerLoads.routerCount();
            rooms.clear();
        }
        return rooms.computeIfAbsent(upstream.key(), key -> newRoom(upstream));
    }

    private UpstreamRoom newRoom(UpstreamState upstream) {
        ZoneRouters zoneRouters = zoneRouters();
        UpstreamInstance instance = upstream.instance();
        UpstreamCapacity capacity =
                upstream.engineTraits()
                        .map(
                                traits ->
                                        UpstreamCapacity.ofEngine(
                                                instance.slots(), traits.capacityTokens()))
                        .orElseGet(() -> UpstreamCapacity.ofServer(instance.slots()));
        boolean otherZones = routers.assumedCount() > zoneRouters.count();
        CapacityDivision division = new CapacityDivision(capacity, otherZones);
        boolean ownZone = instance.zone().equals(zone);
        int ownGrants = ownZone ? 0 : ownGrants(upstream, division);
        return new UpstreamRoom(division, ownZone, zoneRouters, ownGrants);
    }

    private int ownGrants(UpstreamState upstream, CapacityDivision division) {
        return grants.computeIfAbsent(
                Hashes.mixBits(upstream.key() ^ division.grants()),
                key -> routers.shareOf(division.grants(), upstream.instance().id()));
    }

    /**
     * The routers that share the room of the zone, at least the assumed number until the live
     * routers are known. This router counts as isolated while it hears none of its peers; until the
     * live routers are known, while it hears fewer than all that it knows.
     */
    private ZoneRouters zoneRouters() {
        int heard = heardRouterCount;
        int known = Math.max(zoneRouterCount, heard + 1);
        boolean allKnown = routers.minCount() <= 1;
        boolean isolated = allKnown ? heard == 0 && known > 1 : heard < Math.max(1, known - 1);
        return new ZoneRouters(allKnown ? known : Math.max(known, routers.minCount()), isolated);
    }
}
