package org.wigeonferry.router;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.util.Callback;

/**
 * The requests that have been received and whose responses have not been written completely.
 *
 * <p>Invariant: a request counts until its caller's connection has taken the last byte of the
 * response, or is lost. Thread safe.
 */
final class InFlightRequests {
    private final AtomicInteger count = new AtomicInteger();
    private final Set<RoutedCall> calls = ConcurrentHashMap.newKeySet();

    /** Counts a request until the returned callback, which stands for the given one, completes. */
    Callback track(Callback callback) {
        count.incrementAndGet();
        return Callback.from(callback, count::decrementAndGet);
    }

    int count() {
        return count.get();
    }

    /** Adds a call that {@link #endCalls} ends. */
    void add(RoutedCall call) {
        calls.add(call);
    }

    void remove(RoutedCall call) {
        calls.remove(call);
    }

    /** Ends all calls that have no final response. Called on the control thread. */
    void endCalls() {
        calls.forEach(RoutedCall::endBeforeStop);
    }
}
