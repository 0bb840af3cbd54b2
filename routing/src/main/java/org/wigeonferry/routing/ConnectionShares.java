package org.wigeonferry.routing;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Divides the connections that an upstream accepts among the routers.
 *
 * <p>Handles the load in which all routers together open more connections than an upstream accepts,
 * which resets those beyond. Stateless; called on the control thread.
 */
final class ConnectionShares {
    private ConnectionShares() {}

    /** This router's shares of the connections to the upstreams that are not draining. */
    static Map<Incarnation, Integer> of(
            Collection<UpstreamState> upstreams,
            Optional<RoutingConfig> config,
            LiveRouters routers) {
        return upstreams.stream()
                .map(UpstreamState::instance)
                .filter(upstream -> !upstream.draining())
                .collect(
                        Collectors.toMap(
                                UpstreamInstance::incarnation,
                                upstream -> shareOf(upstream, config, routers)));
    }

    /**
     * This router's share: an even one, as the remainder takes long to divide for each placement,
     * and one connection at least, so that each router may send anywhere.
     */
    static int shareOf(
            UpstreamInstance upstream, Optional<RoutingConfig> config, LiveRouters routers) {
        return config.flatMap(c -> c.serviceTraits(upstream.service()))
                .map(traits -> Math.max(1, traits.maxConnections() / routers.assumedCount()))
                .orElse(Integer.MAX_VALUE);
    }
}
