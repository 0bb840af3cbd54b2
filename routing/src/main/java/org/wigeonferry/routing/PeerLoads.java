package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What the other routers of the availability zone have under way at the upstreams.
 *
 * <p>Handles the load of many routers on the same upstreams: each knows only its own sends, and
 * what an upstream reports with its answers is old when there are many routers, so that without
 * these reports prompts queue at some upstreams while others are idle. Reports may be lost; each
 * holds all that its router has under way, and counts for {@link #TTL}.
 *
 * <p>Invariant: the sums are those of the unexpired reports, at most {@link #MAX_ROUTERS}. Owned by
 * the control thread.
 */
public final class PeerLoads {
    private static final Duration TTL = Duration.ofSeconds(1);

    /** Reports of further routers are ignored; anyone may send one, under any name. */
    static final int MAX_ROUTERS = 64;

    private final Map<String, PeerReport> reports = new HashMap<>();
    private final Map<Integer, OwnLoad> sums = new HashMap<>();
    private final SilentPeers silentPeers = new SilentPeers();

    /** Replaces a router's report, unless a later one is known. */
    public void apply(String router, long sequence, List<OwnLoad> loads, long nowNanos) {
        PeerReport known = reports.get(router);
        boolean outdated = known != null && known.sequence() >= sequence;
        if (outdated || (known == null && reports.size() >= MAX_ROUTERS)) {
            return;
        }
        remove(router);
        silentPeers.remove(router);
        reports.put(router, new PeerReport(sequence, List.copyOf(loads), nowNanos));
        loads.forEach(load -> add(load, 1));
    }

    /** Drops the reports that are too old. */
    public void expire(long nowNanos) {
        List.copyOf(reports.entrySet()).stream()
                .filter(entry -> nowNanos - entry.getValue().receivedNanos() > TTL.toNanos())
                .forEach(
                        entry -> {
                            remove(entry.getKey());
                            silentPeers.add(entry.getKey(), entry.getValue().loads());
                        });
    }

    /** The routers whose last report has expired. */
    SilentPeers silentPeers() {
        return silentPeers;
    }

    /** Routers whose report counts. */
    public int routerCount() {
        return reports.size();
    }

    /** Weighted prompt tokens that the other routers have queued at an upstream. */
    int queuedTokens(int upstreamKey) {
        OwnLoad sum = sums.get(upstreamKey);
        return sum == null ? 0 : sum.queuedTokens();
    }

    /** Sends of the other routers that run at an upstream. */
    int runningSends(int upstreamKey) {
        OwnLoad sum = sums.get(upstreamKey);
        return sum == null ? 0 : sum.runningSends();
    }

    /** Tokens of memory that the sends of the other routers may take at an upstream. */
    int heldTokens(int upstreamKey) {
        OwnLoad sum = sums.get(upstreamKey);
        return sum == null ? 0 : sum.heldTokens();
    }

    private void remove(String router) {
        PeerReport removed = reports.remove(router);
        if (removed != null) {
            removed.loads().forEach(load -> add(load, -1));
        }
    }

    private void add(OwnLoad load, int sign) {
        sums.compute(
                load.upstreamKey(),
                (key, sum) -> {
                    int tokens = (sum == null ? 0 : sum.queuedTokens());
                    int sends = (sum == null ? 0 : sum.runningSends());
                    int held = (sum == null ? 0 : sum.heldTokens());
                    OwnLoad newSum =
                            new OwnLoad(
                                    key,
                                    tokens + sign * load.queuedTokens(),
                                    sends + sign * load.runningSends(),
                                    held + sign * load.heldTokens());
                    boolean empty = newSum.equals(new OwnLoad(key, 0, 0, 0));
                    return empty ? null : newSum;
                });
    }
}
