package org.wigeonferry.routing;

/**
 * A service that gets a share of a route's traffic.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight share of the route's traffic, relative to the weights of its other services
 */
public record WeightedService(String service, int weight) {}
