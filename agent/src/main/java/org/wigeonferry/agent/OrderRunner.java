package org.wigeonferry.agent;

import org.wigeonferry.core_types.StartOrder;
import org.wigeonferry.messages.gen.OrderMessage;

/**
 * Runs an admitted order on the upstream.
 *
 * <p>Implementations are thread safe, return at once, finish the sink exactly once unless a write
 * to it failed, and report the end of the attempt by {@link Admission#onAttemptFinished} or {@link
 * Admission#onAttemptCancelled}.
 */
@FunctionalInterface
interface OrderRunner {
    void run(StartOrder order, OrderMessage message, FrameSink sink);
}
