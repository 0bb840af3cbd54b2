package org.wigeonferry.decisions;

import java.util.function.LongSupplier;
import org.wigeonferry.core_types.StartOrder;

/**
 * An admitted attempt and how far its answer has come.
 *
 * <p>Thread safe if the supplier is.
 *
 * @param order the order
 * @param answerPosition bytes of the answer so far
 */
record RunningAttempt(StartOrder order, LongSupplier answerPosition) {
    LostRequest toLostRequest() {
        return new LostRequest(order.requestDigest(), answerPosition.getAsLong());
    }
}
