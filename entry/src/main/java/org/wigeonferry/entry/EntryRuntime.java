package org.wigeonferry.entry;

import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.Exchanger;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.platform_clients.RatingService;

/**
 * The parts of an entry that a request needs.
 *
 * <p>Thread safe, but for the state, which belongs to the control thread.
 *
 * @param control the control thread
 * @param state control state
 * @param attemptClient sends orders
 * @param exchanger exchanges news with peers
 * @param billKeeper keeps bills
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
