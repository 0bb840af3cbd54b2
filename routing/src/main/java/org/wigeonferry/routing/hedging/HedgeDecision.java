package org.wigeonferry.routing.hedging;

/**
 * What to do about a send that has not been answered yet.
 *
 * <p>Implementations are immutable and thread safe.
 */
public sealed interface HedgeDecision permits HedgeNow, HedgeLater, NoHedge {}
