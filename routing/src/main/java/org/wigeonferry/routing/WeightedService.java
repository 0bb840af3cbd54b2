package org.wigeonferry.routing;

/**
 * A service that takes part of a route's traffic.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight share relative to the route's other services
 */
public record WeightedService(String service, int weight) {}
