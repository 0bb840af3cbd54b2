package org.wigeonferry.routing;

import org.wigeonferry.routing.prediction.Prediction;

/** The upstream chosen for a send, with the time to the first byte that is expected. */
record SelectedUpstream(UpstreamState state, Prediction prediction) {}
