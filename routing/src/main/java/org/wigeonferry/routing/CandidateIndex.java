package org.wigeonferry.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The upstreams by service, prepared for decisions; built anew after upstreams were added or
 * removed.
 *
 * <p>Owned by the control thread.
 */
final class CandidateIndex {
    private static final Comparator<UpstreamState> SAME_ORDER_AT_ALL_ROUTERS =
            Comparator.comparingInt(UpstreamState::key)
                    .thenComparing(state -> state.instance().id());

    private final String zone;
    private final UpstreamDirectory directory;
    private final Map<String, ServiceCandidates> byService = new HashMap<>();
    private long membershipChanges = -1;

    CandidateIndex(String zone, UpstreamDirectory directory) {
        this.zone = zone;
        this.directory = directory;
    }

    ServiceCandidates of(String service) {
        if (membershipChanges != directory.membershipChanges()) {
            byService.clear();
            membershipChanges = directory.membershipChanges();
        }
        return byService.computeIfAbsent(service, this::build);
    }

    boolean isInOwnZone(UpstreamState state) {
        return state.instance().zone().equals(zone);
    }

    private ServiceCandidates build(String service) {
        List<UpstreamState> ownZone = new ArrayList<>();
        List<UpstreamState> otherZones = new ArrayList<>();
        directory.upstreamStates().stream()
                .filter(state -> state.instance().service().equals(service))
                .sorted(SAME_ORDER_AT_ALL_ROUTERS)
                .forEach(state -> (isInOwnZone(state) ? ownZone : otherZones).add(state));
        return new ServiceCandidates(ownZone, otherZones);
    }
}
