package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Limits that hold for all routers together, and durations used in routing decisions.
 *
 * <p>Immutable and thread safe.
 *
 * @param retryRatio retries allowed for each first send of a request
 * @param extraRetries retries allowed in a window beyond the ratio, over all routers
 * @param retryWindow length of the sliding window in which retries and hedged sends are counted
 * @param coldRateFactor factor on {@link ServiceTraits#maxRequestsPerSecondWhileCold}
 * @param extraColdRequestsPerSecond requests per second to a cold upstream beyond that product,
 *     over all routers
 * @param exposureShare share of a service's requests that the new release of a running roll-out may
 *     get, from 0 to 1
 * @param extraExposedSends sends to that release beyond its share, over all routers
 * @param hedgedSendShare hedged sends allowed for each first send of a request; 0 allows none
 * @param sessionTtl how long a session lasts after its last request
 * @param outageGracePeriod grace period after an outage of the store; removals of upstreams are put
 *     off until its end
 */
public record RoutingLimits(
        double retryRatio,
        double extraRetries,
        Duration retryWindow,
        double coldRateFactor,
        double extraColdRequestsPerSecond,
        double exposureShare,
        double extraExposedSends,
        double hedgedSendShare,
        Duration sessionTtl,
        Duration outageGracePeriod) {}
