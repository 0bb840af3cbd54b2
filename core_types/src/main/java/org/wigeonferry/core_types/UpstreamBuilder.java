package org.wigeonferry.core_types;

import java.util.Set;

/**
 * Builds an {@link Upstream}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class UpstreamBuilder {
    private UpstreamId id;
    private ZoneId zone;
    private HostAddress agentAddress;
    private Set<VersionId> versions = Set.of();
    private Set<ServiceId> services = Set.of();
    private int maxConcurrentAttempts = 8;
    private boolean draining = false;

    UpstreamBuilder() {}

    /** Sets the id of the upstream. */
    public UpstreamBuilder id(UpstreamId value) {
        this.id = value;
        return this;
    }

    /** Sets the availability zone in which the upstream runs. */
    public UpstreamBuilder zone(ZoneId value) {
        this.zone = value;
        return this;
    }

    /** Sets the address at which its agent accepts orders. */
    public UpstreamBuilder agentAddress(HostAddress value) {
        this.agentAddress = value;
        return this;
    }

    /** Sets the model versions that it runs; empty if it only offers non-model services. */
    public UpstreamBuilder versions(Set<VersionId> value) {
        this.versions = value;
        return this;
    }

    /** Sets the non-model services that it offers. */
    public UpstreamBuilder services(Set<ServiceId> value) {
        this.services = value;
        return this;
    }

    /** Sets the maximum concurrent attempts after the cold start; 8 by default. */
    public UpstreamBuilder maxConcurrentAttempts(int value) {
        this.maxConcurrentAttempts = value;
        return this;
    }

    /** Sets whether a release note has set it to take no new work. */
    public UpstreamBuilder draining(boolean value) {
        this.draining = value;
        return this;
    }

    /**
     * Builds the upstream.
     *
     * @throws IllegalArgumentException if {@code maxConcurrentAttempts} is less than 1
     */
    public Upstream build() {
        return new Upstream(
                id, zone, agentAddress, versions, services, maxConcurrentAttempts, draining);
    }
}
