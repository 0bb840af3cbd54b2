package org.wigeonferry.routing.hedging;

/**
 * The request should be sent a second time now.
 *
 * <p>Immutable and thread safe.
 */
public record HedgeNow() implements HedgeDecision {}
