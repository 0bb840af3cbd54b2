package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of one host and path prefix go, and what they may cost in time and attempts.
 *
 * <p>Immutable and thread safe.
 *
 * @param timeout longest time for which a caller is kept waiting
 * @param latencyObjective time within which an answer has its full worth
 * @param maxRuns most upstreams that may run one request
 * @param rank urgency; 0 is the most urgent
 * @param keyless whether requests need no key
 * @param models models that may answer, smallest first; empty if the caller names the model
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyObjective,
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
     * @param draw uniform in [0, 1)
     */
    public String pickService(double draw) {
        int total = services.stream().mapToInt(WeightedService::weight).sum();
        double left = draw * total;
        for (WeightedService service : services) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
