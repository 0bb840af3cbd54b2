/**
 * Decides whether and when a request that waits for its first response is sent a second time.
 *
 * <p>Inputs: how long the first send has waited, what the service's sends usually need, what the
 * limits leave. Output: a {@link org.wigeonferry.routing.hedging.HedgeDecision}. Called by {@code
 * HedgedPlacement} of the package above. No I/O, no clock, no random source.
 */
package org.wigeonferry.routing.hedging;
