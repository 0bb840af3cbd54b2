package org.wigeonferry.core_types;

import java.util.Set;

/**
 * One upstream and the agent process beside it.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the name of the upstream
 * @param zone the availability zone it runs in
 * @param agentAddress where its agent listens for orders
 * @param versions versions it runs; empty for a plain service
 * @param services plain services it offers
 * @param maxConcurrentAttempts most requests it bears at once when warm
 * @param draining whether it receives no new work
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
            throw new IllegalArgumentException("max-concurrent below one");
        }
    }

    /** Starts a builder with the default of every optional field. */
    public static UpstreamBuilder builder() {
        return new UpstreamBuilder();
    }

    /** Starts a builder that holds this value's fields. */
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
