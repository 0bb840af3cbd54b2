package org.wigeonferry.router;

import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeonferry.node_runtime.Control;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.routing.RoutingState;

/**
 * What all calls of a process share.
 *
 * <p>Immutable; its parts are thread safe but for the state, which is the control thread's.
 *
 * @param trafficExecutor threads that carry bytes
 * @param inFlight calls that have no final answer yet
 */
record CallContext(
        Control control,
        RoutingState state,
        Executor trafficExecutor,
        UpstreamSender sender,
        WireProtocol protocol,
        Refusals refusals,
        NodeMetrics metrics,
        AtomicInteger inFlight) {}
