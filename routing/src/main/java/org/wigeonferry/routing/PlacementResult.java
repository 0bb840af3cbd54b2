package org.wigeonferry.routing;

/**
 * Result of {@link RoutingState#routeJob}: a send to an upstream, a refusal, or a wait for room at
 * one.
 *
 * <p>Implementations are immutable and thread safe.
 */
public sealed interface PlacementResult permits Send, Refused, Waiting {}
