package org.wigeonferry.routing;

import java.util.Optional;
import org.wigeonferry.routing.prediction.Prediction;

/**
 * The upstream chosen for a send.
 *
 * @param prediction the time to the first byte that is expected; empty if no response of the
 *     service has been seen
 */
record SelectedUpstream(UpstreamState state, Optional<Prediction> prediction) {}
