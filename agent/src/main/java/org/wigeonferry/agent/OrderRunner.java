package org.wigeonferry.agent;

import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.messages.gen.OrderMessage;

/**
 * Runs an admitted order on the upstream.
 *
 * <p>Implementations are thread safe, return at once, finish the sink exactly once and tell the
 * control state that the attempt ended.
 */
@FunctionalInterface
interface OrderRunner {
    void run(StartOrder order, OrderMessage message, FrameSink sink);
}
