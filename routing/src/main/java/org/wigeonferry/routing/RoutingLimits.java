package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Limits that hold for all entries together, and times that decisions keep to.
 *
 * <p>Immutable and thread safe.
 *
 * @param retryRatio repeats for each first send
 * @param extraRetries repeats in a window beyond the ratio, over all entries
 * @param coldRateFactor factor on the rate that a cold upstream bears
 * @param extraColdPerSecond requests in a second beyond that, over all entries
 * @param exposureShare share of a service's requests that an unproved release may get
 * @param sessionTtl how long a session lasts after its last request
 * @param removalDelayAfterOutage how long upstreams whose entries vanished in an outage of the
 *     store are kept
 */
public record RoutingLimits(
        double retryRatio,
        double extraRetries,
        Duration retryWindow,
        double coldRateFactor,
        double extraColdPerSecond,
        double exposureShare,
        Duration sessionTtl,
        Duration removalDelayAfterOutage) {}
