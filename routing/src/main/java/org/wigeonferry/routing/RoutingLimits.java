package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Limits that hold for all entries together, and times that decisions keep to.
 *
 * <p>Immutable and thread safe.
 *
 * @param retryRatio repeats for each first send
 * @param retryExtra repeats in a window beyond the ratio, over all entries
 * @param coldOverage factor on the rate that a cold upstream bears
 * @param coldExtra requests in a second beyond that, over all entries
 * @param exposureShare share of a service's requests that an unproved release may get
 * @param sessionLife how long a session lasts after its last request
 * @param lapseGrace how long upstreams whose entries vanished in an outage of the store are kept
 */
public record RoutingLimits(
        double retryRatio,
        double retryExtra,
        Duration retryWindow,
        double coldOverage,
        double coldExtra,
        double exposureShare,
        Duration sessionLife,
        Duration lapseGrace) {}
