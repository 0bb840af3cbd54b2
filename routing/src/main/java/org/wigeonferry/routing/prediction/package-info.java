/**
 * Predicted times of requests at upstreams.
 *
 * <p>Inputs: jobs and what is known of the upstreams. Outputs: the time to the first byte. Callers:
 * {@link org.wigeonferry.routing.RoutingState}.
 */
package org.wigeonferry.routing.prediction;
