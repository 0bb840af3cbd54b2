package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * Properties common to all upstreams of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param coldDuration how long an upstream stays cold after its start
 * @param maxRequestsPerSecondWhileCold requests per second that a cold upstream can serve; 0 for no
 *     limit
 * @param engine traits of the service's model engines; empty for a non-model service
 */
public record ServiceTraits(
        String name,
        int maxConnections,
        Duration coldDuration,
        double maxRequestsPerSecondWhileCold,
        Optional<EngineTraits> engine) {}
