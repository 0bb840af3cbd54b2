package org.wigeonferry.entry;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * Times the bytes of one attempt: in the queue, to the first token, between tokens.
 *
 * <p>Tokens that arrive together count as one. Callbacks of one attempt never run at the same time,
 * so no lock is needed.
 */
final class TokenTimes {
    private final Call call;
    private final ControlExecutor control;
    private final NodeMetrics metrics;
    private final long sentNanos;
    private Optional<Long> lastNanos = Optional.empty();

    /** Begins when the attempt is sent. */
    TokenTimes(Call call, ControlExecutor control, NodeMetrics metrics) {
        this.call = call;
        this.control = control;
        this.metrics = metrics;
        this.sentNanos = control.nanoTime();
        note("queue", Duration.ofNanos(sentNanos - call.arrivedNanos()));
    }

    /** Notes bytes; gives the time to the first token when these are the first. */
    Optional<Duration> recordArrival() {
        long now = control.nanoTime();
        Optional<Long> last = lastNanos;
        lastNanos = Optional.of(now);
        if (last.isPresent()) {
            Duration gap = Duration.ofNanos(now - last.get());
            metrics.recordDuration("between_tokens", "class", call.requestClass().value(), gap);
            return Optional.empty();
        }
        Duration first = Duration.ofNanos(now - sentNanos);
        note("first_token", first);
        return Optional.of(first);
    }

    private void note(String name, Duration duration) {
        metrics.recordDuration(name, "account", call.account().id().value(), duration);
        metrics.recordDuration(name, "class", call.requestClass().value(), duration);
    }
}
