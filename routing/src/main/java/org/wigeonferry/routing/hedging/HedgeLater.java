package org.wigeonferry.routing.hedging;

import java.time.Duration;

/**
 * The first send may still be answered in the usual time.
 *
 * <p>Immutable and thread safe.
 *
 * @param delay time after which to decide again
 */
public record HedgeLater(Duration delay) implements HedgeDecision {}
