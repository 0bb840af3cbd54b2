package org.wigeonferry.core_types;

import java.util.Set;

/**
 * Builds a {@link Upstream}.
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

    /** Sets the name of the upstream. */
    public UpstreamBuilder id(UpstreamId value) {
        this.id = value;
        return this;
    }

    /** Sets the availability zone it runs in. */
    public UpstreamBuilder zone(ZoneId value) {
        this.zone = value;
        return this;
    }

    /** Sets where its agent listens for orders. */
    public UpstreamBuilder agentAddress(HostAddress value) {
        this.agentAddress = value;
        return this;
    }

    /** Sets versions it runs; empty for a plain service. */
    public UpstreamBuilder versions(Set<VersionId> value) {
        this.versions = value;
        return this;
    }

    /** Sets plain services it offers. */
    public UpstreamBuilder services(Set<ServiceId> value) {
        this.services = value;
        return this;
    }

    /** Sets most requests it bears at once when warm. */
    public UpstreamBuilder maxConcurrentAttempts(int value) {
        this.maxConcurrentAttempts = value;
        return this;
    }

    /** Sets whether it receives no new work. */
    public UpstreamBuilder draining(boolean value) {
        this.draining = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link Upstream}. */
    public Upstream build() {
        return new Upstream(
                id, zone, agentAddress, versions, services, maxConcurrentAttempts, draining);
    }
}
