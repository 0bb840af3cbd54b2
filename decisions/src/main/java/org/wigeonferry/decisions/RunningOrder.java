package org.wigeonferry.decisions;

import java.util.function.LongSupplier;
import org.wigeonferry.core_types.StartOrder;

/**
 * An admitted attempt and how far its answer has come.
 *
 * <p>Thread safe if the supplier is.
 *
 * @param order the order
 * @param position bytes of the answer so far
 */
record RunningOrder(StartOrder order, LongSupplier position) {
    LostRequest lost() {
        return new LostRequest(order.digest(), position.getAsLong());
    }
}
