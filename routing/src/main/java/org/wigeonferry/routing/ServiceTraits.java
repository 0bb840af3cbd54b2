package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What holds for all upstreams of a service.
 *
 * <p>Immutable and thread safe.
 *
 * @param maxConnections connections that one upstream accepts from all callers together
 * @param coldDuration how long an upstream stays cold after its start
 * @param maxColdPerSecond requests a second that a cold upstream bears; 0 for no limit
 */
public record ServiceTraits(
        String name,
        int maxConnections,
        Duration coldDuration,
        double maxColdPerSecond,
        Optional<EngineTraits> engine) {}
