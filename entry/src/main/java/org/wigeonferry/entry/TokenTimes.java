package org.wigeonferry.entry;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.node_runtime.ControlExecutor;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * Measures the latencies of one attempt: from the arrival of the request until the attempt is sent,
 * from then to the first token, and between tokens.
 *
 * <p>Tokens that arrive together count as one, so the times between tokens are those between
 * arrivals. Callbacks of one attempt never run at the same time, so no lock is needed.
 */
final class TokenTimes {
    private final Call call;
    private final ControlExecutor control;
    private final NodeMetrics metrics;
    private final long sentNanos;
    private Optional<Long> lastArrivalNanos = Optional.empty();

    /** Starts measuring, when the attempt is sent; records the time since the request arrived. */
    TokenTimes(Call call, ControlExecutor control, NodeMetrics metrics) {
        this.call = call;
        this.control = control;
        this.metrics = metrics;
        this.sentNanos = control.nanoTime();
        recordTime("queue", Duration.ofNanos(sentNanos - call.arrivedNanos()));
    }

    /** Records the arrival of bytes; returns the time to the first token if they are the first. */
    Optional<Duration> recordArrival() {
        long nowNanos = control.nanoTime();
        Optional<Long> previousNanos = lastArrivalNanos;
        lastArrivalNanos = Optional.of(nowNanos);
        if (previousNanos.isPresent()) {
            Duration gap = Duration.ofNanos(nowNanos - previousNanos.get());
            metrics.recordDuration("between_tokens", "class", call.requestClass().value(), gap);
            return Optional.empty();
        }
        Duration timeToFirstToken = Duration.ofNanos(nowNanos - sentNanos);
        recordTime("first_token", timeToFirstToken);
        return Optional.of(timeToFirstToken);
    }

    private void recordTime(String name, Duration duration) {
        metrics.recordDuration(name, "account", call.account().id().value(), duration);
        metrics.recordDuration(name, "class", call.requestClass().value(), duration);
    }
}
