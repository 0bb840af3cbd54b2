package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Selects the model of a job, and predicts how soon an upstream would answer with it.
 *
 * <p>Owned by the control thread.
 */
final class ModelChoice {
    private final ModelSelector modelSelector;
    private final UpstreamSelector upstreamSelector;
    private final JobRules rules;
    private final Predicate<String> requestsWait;

    /**
     * Creates the choice.
     *
     * @param requestsWait whether requests of a service wait for an upstream with capacity
     */
    ModelChoice(
            ModelSelector modelSelector,
            UpstreamSelector upstreamSelector,
            JobRules rules,
            Predicate<String> requestsWait) {
        this.modelSelector = modelSelector;
        this.upstreamSelector = upstreamSelector;
        this.rules = rules;
        this.requestsWait = requestsWait;
    }

    /**
     * Selects the model.
     *
     * @param routerCount routers among which the retry budget of the service is divided
     */
    ModelSelection select(Job job, ServiceState service, int routerCount, long nowNanos) {
        boolean mayEscalate =
                !requestsWait.test(job.service())
                        && service.hasSpareRetries(nowNanos, routerCount)
                        && EscalationRule.allows(
                                job,
                                service,
                                model -> timeToFirstByteIfPredicted(job, model, nowNanos),
                                nowNanos);
        return modelSelector.select(job, mayEscalate);
    }

    /** The shortest predicted time to the first byte; empty if nothing is known. */
    Optional<Duration> timeToFirstByte(Job job, Optional<String> model, long nowNanos) {
        return rules.rulesFor(job, nowNanos).stream()
                .map(rule -> upstreamSelector.shortestTime(job, model, rule, nowNanos))
                .flatMap(Optional::stream)
                .findFirst();
    }

    private Optional<Duration> timeToFirstByteIfPredicted(Job job, String model, long nowNanos) {
        return upstreamSelector.predictsTimes(job.service(), nowNanos)
                ? timeToFirstByte(job, Optional.of(model), nowNanos)
                : Optional.empty();
    }
}
