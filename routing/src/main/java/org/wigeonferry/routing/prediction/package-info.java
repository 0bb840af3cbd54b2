/**
 * Predicts the time to the first byte of a request at an upstream, and ranks upstreams by it.
 *
 * <p>Inputs: response times, load reports with their age, work that is queued or running. Outputs:
 * predicted times with their error. Called by {@code UpstreamSelector} and {@code UpstreamState} on
 * the control thread; no I/O, clock or random source of its own.
 */
package org.wigeonferry.routing.prediction;
