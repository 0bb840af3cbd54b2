package org.wigeonferry.routing;

/**
 * Where a job goes next, if anywhere.
 *
 * <p>Implementations are immutable and thread safe.
 */
public sealed interface PlacementResult permits Send, Refused {}
