package org.wigeonferry.entry;

import java.time.Duration;

/**
 * Counts a request out and notes what it came to.
 *
 * <p>Stateless and thread safe.
 */
final class CallEnd {
    private CallEnd() {}

    /** Notes the outcome; call once for each request that was counted in. */
    static void recordEnd(Call call, EntryRuntime runtime, String outcome, int stages, long cost) {
        String account = call.account().id().value();
        String type = call.requestClass().value();
        Duration latency = Duration.ofNanos(System.nanoTime() - call.arrivedNanos());
        runtime.metrics().recordDuration("latency", "account", account, latency);
        runtime.metrics().recordDuration("latency", "class", type, latency);
        runtime.metrics().recordValue("cost_micros", "class", type, cost);
        runtime.metrics().recordValue("stages", "class", type, stages);
        runtime.metrics().count("requests_" + outcome, "account", account);
        runtime.control()
                .execute(
                        () -> {
                            runtime.state().accountLimiter().release(call.account().id());
                            runtime.state().runIdleActionIfIdle();
                        });
    }
}
