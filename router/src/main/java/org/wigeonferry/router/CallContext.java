package org.wigeonferry.router;

import java.util.concurrent.Executor;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;
import org.wigeonferry.routing.RoutingState;

/**
 * The collaborators that all {@link RoutedCall}s of a process share.
 *
 * <p>Immutable; its components are thread safe, except for the state, which is owned by the control
 * thread.
 *
 * @param trafficExecutor runs the tasks that read requests and write responses
 * @param responseBudget bounds the memory of responses that are not complete
 * @param inFlight the requests whose responses are not complete
 * @param waitingCalls the calls that wait for room at an upstream
 */
record CallContext(
        ControlExecutor control,
        RoutingState state,
        Executor trafficExecutor,
        UpstreamSender sender,
        WireProtocol protocol,
        Refusals refusals,
        NodeMetrics metrics,
        ResponseBudget responseBudget,
        InFlightRequests inFlight,
        WaitingCalls waitingCalls) {}
