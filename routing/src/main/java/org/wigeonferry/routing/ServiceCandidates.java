package org.wigeonferry.routing;

import java.util.List;

/**
 * The upstreams of a service, in the same order at all routers.
 *
 * <p>Immutable.
 *
 * @param ownZone those in the router's availability zone
 * @param otherZones all others
 */
record ServiceCandidates(List<UpstreamState> ownZone, List<UpstreamState> otherZones) {
    static final ServiceCandidates NONE = new ServiceCandidates(List.of(), List.of());

    ServiceCandidates {
        ownZone = List.copyOf(ownZone);
        otherZones = List.copyOf(otherZones);
    }
}
