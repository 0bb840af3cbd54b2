package org.wigeonferry.routing;

/**
 * Result of {@link RoutingState#routeJob}: a send to an upstream, or a refusal.
 *
 * <p>Implementations are immutable and thread safe.
 */
public sealed interface PlacementResult permits Send, Refused {}
