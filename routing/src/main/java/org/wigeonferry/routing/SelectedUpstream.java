package org.wigeonferry.routing;

import org.wigeonferry.routing.prediction.Prediction;

/**
 * The upstream chosen for a send, with the time to the first byte that is expected.
 *
 * <p>Owned by the control thread, as the state is.
 */
record SelectedUpstream(UpstreamState state, Prediction prediction) {}
