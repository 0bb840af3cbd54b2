package org.wigeonferry.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What routers of the zone had at the upstreams when their last report expired, while the store
 * shows them live: a lost link ends their reports, but not their requests.
 *
 * <p>Owned by the control thread.
 */
final class SilentPeers {
    private final Map<String, List<OwnLoad>> loadsByRouter = new HashMap<>();
    private final Map<Integer, OwnLoad> sums = new HashMap<>();

    /** Records a router whose report has expired. */
    void add(String router, List<OwnLoad> loads) {
        loadsByRouter.put(router, loads);
        updateSums();
    }

    /** Forgets a router that reports again. */
    void remove(String router) {
        if (loadsByRouter.remove(router) != null) {
            updateSums();
        }
    }

    /** Forgets all routers but these. */
    void retain(Set<String> live) {
        if (loadsByRouter.keySet().retainAll(live)) {
            updateSums();
        }
    }

    /** Sum of the last reports on an upstream. */
    OwnLoad sum(int upstreamKey) {
        return sums.getOrDefault(upstreamKey, new OwnLoad(upstreamKey, 0, 0, 0));
    }

    private void updateSums() {
        sums.clear();
        loadsByRouter.values().stream()
                .flatMap(List::stream)
                .forEach(load -> sums.merge(load.upstreamKey(), load, SilentPeers::add));
    }

    private static OwnLoad add(OwnLoad one, OwnLoad other) {
        return new OwnLoad(
                one.upstreamKey(),
                one.queuedTokens() + other.queuedTokens(),
                one.runningSends() + other.runningSends(),
                one.heldTokens() + other.heldTokens());
    }
}
