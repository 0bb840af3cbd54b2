package org.wigeonferry.entry;

import java.time.Duration;

/**
 * Ends the in-flight count of a request and records its outcome in the metrics.
 *
 * <p>Stateless and thread safe.
 */
final class CallEnd {
    private CallEnd() {}

    /** Records the end of a request; must be called exactly once for each admitted request. */
    static void recordEnd(
            Call call, EntryRuntime runtime, String outcome, int stages, long costMicros) {
        String account = call.account().id().value();
        String requestClass = call.requestClass().value();
        Duration latency = Duration.ofNanos(System.nanoTime() - call.arrivedNanos());
        runtime.metrics().recordDuration("latency", "account", account, latency);
        runtime.metrics().recordDuration("latency", "class", requestClass, latency);
        runtime.metrics().recordValue("cost_micros", "class", requestClass, costMicros);
        runtime.metrics().recordValue("stages", "class", requestClass, stages);
        runtime.metrics().count("requests_" + outcome, "account", account);
        runtime.control()
                .execute(
                        () -> {
                            runtime.state().accountLimiter().release(call.account().id());
                            runtime.state().runIdleActionIfIdle();
                        });
    }
}
