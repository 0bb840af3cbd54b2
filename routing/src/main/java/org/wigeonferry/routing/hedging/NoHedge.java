package org.wigeonferry.routing.hedging;

/**
 * The request is not sent a second time.
 *
 * <p>Immutable and thread safe.
 */
public record NoHedge(NoHedgeCause cause) implements HedgeDecision {}
