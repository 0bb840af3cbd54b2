package org.wigeonferry.routing;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The rules that bind every send, with the zones that are disabled and this router's share of the
 * rate of cold upstreams.
 *
 * <p>Owned by the control thread.
 */
final class PlacementRules {
    private final RoutingLimits limits;
    private final UpstreamNotices notices;
    private final Set<String> disabledZones = new HashSet<>();
    private boolean limitsConnections;

    PlacementRules(RoutingLimits limits, UpstreamNotices notices) {
        this.limits = limits;
        this.notices = notices;
    }

    /** Disables an availability zone for new sends, or enables it again. */
    void setZoneDisabled(String zone, boolean disabled) {
        if (disabled) {
            disabledZones.add(zone);
            return;
        }
        disabledZones.remove(zone);
    }

    /** The availability zones that get no new sends. */
    Set<String> disabledZones() {
        return Set.copyOf(disabledZones);
    }

    /** Limits the sends at each upstream to this router's share of its connections. */
    void limitConnections() {
        limitsConnections = true;
    }

    /**
     * Allows the upstreams at which this router's share of the connections is not used up. The lack
     * of a connection is a lack of room, for which a request may wait.
     */
    UpstreamRule connections(Optional<RoutingConfig> config, LiveRouters routers) {
        return limitsConnections
                ? UpstreamRules.withinConnections(
                        target -> ConnectionShares.shareOf(target, config, routers))
                : (upstream, job, nowNanos) -> true;
    }

    /** A rule that allows what all rules allow, but for {@link #connections}. */
    UpstreamRule all(Optional<RoutingConfig> config, LiveRouters routers) {
        return UpstreamRules.SERVES_JOB
                .and(UpstreamRules.NOT_DRAINING)
                .and(notices.rule(routers))
                .and(UpstreamRules.NOT_TRIED)
                .and(UpstreamRules.outsideZones(disabledZones))
                .and(UpstreamRules.withinColdRate(target -> ownColdRate(target, config, routers)));
    }

    private int ownColdRate(
            UpstreamInstance target, Optional<RoutingConfig> config, LiveRouters routers) {
        double rate =
                config.flatMap(c -> c.serviceTraits(target.service()))
                        .map(ServiceTraits::maxRequestsPerSecondWhileCold)
                        .orElse(0.0);
        return rate <= 0
                ? Integer.MAX_VALUE
                : routers.shareOf(
                        rate * limits.coldRateFactor() + limits.extraColdRequestsPerSecond(),
                        target.id());
    }
}
