package org.wigeonferry.core_types;

import java.util.Set;

/**
 * One configured upstream: a model engine or another service, with the agent process that controls
 * access to it.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the id of the upstream
 * @param zone the availability zone in which the upstream runs
 * @param agentAddress the address at which its agent accepts orders
 * @param versions model versions that it runs; empty if it only offers non-model services
 * @param services non-model services that it offers
 * @param maxConcurrentAttempts maximum concurrent attempts after the cold start; at least 1
 * @param draining whether a release note has set it to take no new work
 */
public record Upstream(
        UpstreamId id,
        ZoneId zone,
        HostAddress agentAddress,
        Set<VersionId> versions,
        Set<ServiceId> services,
        int maxConcurrentAttempts,
        boolean draining) {
    public Upstream {
        versions = Set.copyOf(versions);
        services = Set.copyOf(services);
        if (maxConcurrentAttempts < 1) {
            throw new IllegalArgumentException("max-concurrent must be at least 1");
        }
    }

    /** Returns a builder; id, zone and agent address must be set. */
    public static UpstreamBuilder builder() {
        return new UpstreamBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public UpstreamBuilder toBuilder() {
        return new UpstreamBuilder()
                .id(id)
                .zone(zone)
                .agentAddress(agentAddress)
                .versions(versions)
                .services(services)
                .maxConcurrentAttempts(maxConcurrentAttempts)
                .draining(draining);
    }
}
