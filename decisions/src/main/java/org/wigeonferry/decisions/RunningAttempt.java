package org.wigeonferry.decisions;

import java.util.function.LongSupplier;
import org.wigeonferry.core_types.StartOrder;

/**
 * An admitted attempt with the current position in its answer.
 *
 * <p>Thread safe if the supplier is.
 *
 * @param order order that started the attempt
 * @param answerBytes number of bytes of the answer so far
 */
record RunningAttempt(StartOrder order, LongSupplier answerBytes) {
    LostRequest toLostRequest() {
        return new LostRequest(order.requestDigest(), answerBytes.getAsLong());
    }
}
