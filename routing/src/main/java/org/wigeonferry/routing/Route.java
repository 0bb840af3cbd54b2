package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;

/**
 * The services, time limits and retry limit of requests with one host and path prefix.
 *
 * <p>Immutable and thread safe.
 *
 * @param timeout longest time from a request's admission to the end of its answer
 * @param latencyObjective target latency of answers; the time after which a silent upstream may be
 *     given up is proportional to it
 * @param maxEventGap longest time between two events of a stream with which it still counts as on
 *     time; an upstream that is silent for longer may be given up
 * @param maxRuns largest number of times that upstreams may have run a request
 * @param rank urgency of requests whose account has no rank; 0 is the most urgent
 * @param keyless whether requests need no API key
 * @param models models that the router may choose, smallest first; empty if only the caller names a
 *     model
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyObjective,
        Duration maxEventGap,
        int maxRuns,
        int rank,
        boolean keyless,
        List<String> models,
        List<WeightedService> services) {
    public Route {
        models = List.copyOf(models);
        services = List.copyOf(services);
    }

    /** Whether a service may get this route's requests. */
    public boolean allows(String service) {
        return services.stream().anyMatch(s -> s.weight() > 0 && s.service().equals(service));
    }

    /**
     * Picks a service by weight.
     *
     * @param sample uniformly distributed in [0, 1)
     */
    public String pickService(double sample) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double remaining = sample * total;
        for (WeightedService service : services) {
            remaining -= service.weight();
            if (remaining < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
