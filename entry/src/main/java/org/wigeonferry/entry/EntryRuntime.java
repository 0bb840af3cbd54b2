package org.wigeonferry.entry;

import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.Exchanger;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.platform_clients.RatingService;

/**
 * Components of an entry that handlers of requests use.
 *
 * <p>Thread safe, except for {@link #state}, which is owned by the control thread.
 *
 * @param control the control thread
 * @param state mutable state of the entry
 * @param attemptClient sends orders to start attempts to agents
 * @param exchanger exchanges configuration and evidence with peers
 * @param billKeeper secures bills and writes them to the table service
 * @param ratingService rates answers
 * @param sessions issues session ids
 * @param metrics counters and histograms
 */
record EntryRuntime(
        ControlExecutor control,
        EntryState state,
        AttemptClient attemptClient,
        Exchanger exchanger,
        BillKeeper billKeeper,
        RatingService ratingService,
        SessionIds sessions,
        NodeMetrics metrics) {}
