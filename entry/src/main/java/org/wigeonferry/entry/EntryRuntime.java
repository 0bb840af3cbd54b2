package org.wigeonferry.entry;

import org.wigeonferry.node_runtime.Control;
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
 * @param attempts sends orders
 * @param exchanger exchanges news with peers
 * @param bills keeps bills
 * @param ratings rates answers
 * @param sessions issues session ids
 * @param metrics counters and histograms
 */
record EntryRuntime(
        Control control,
        EntryState state,
        AttemptClient attempts,
        Exchanger exchanger,
        BillKeeper bills,
        RatingService ratings,
        SessionTokens sessions,
        NodeMetrics metrics) {}
