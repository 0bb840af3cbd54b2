package org.wigeonferry.core_types;

import java.util.List;
import java.util.Set;

/**
 * Builds a {@link ClientAccount}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class ClientAccountBuilder {
    private AccountId id;
    private List<ApiKeyDigest> keyDigests = List.of();
    private Set<VersionId> versions = Set.of();
    private Set<ServiceId> services = Set.of();
    private int maxInFlight = 64;

    ClientAccountBuilder() {}

    /** Sets the name of the account. */
    public ClientAccountBuilder id(AccountId value) {
        this.id = value;
        return this;
    }

    /** Sets salted digests of its valid keys; two during a rotation. */
    public ClientAccountBuilder keyDigests(List<ApiKeyDigest> value) {
        this.keyDigests = value;
        return this;
    }

    /** Sets versions that the account allows. */
    public ClientAccountBuilder versions(Set<VersionId> value) {
        this.versions = value;
        return this;
    }

    /** Sets plain services that the account may call. */
    public ClientAccountBuilder services(Set<ServiceId> value) {
        this.services = value;
        return this;
    }

    /** Sets most requests in flight at one entry. */
    public ClientAccountBuilder maxInFlight(int value) {
        this.maxInFlight = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link ClientAccount}. */
    public ClientAccount build() {
        return new ClientAccount(id, keyDigests, versions, services, maxInFlight);
    }
}
