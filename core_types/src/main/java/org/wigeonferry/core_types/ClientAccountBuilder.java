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
    private int maxConcurrentRequests = 64;

    ClientAccountBuilder() {}

    /** Sets the id of the account. */
    public ClientAccountBuilder id(AccountId value) {
        this.id = value;
        return this;
    }

    /** Sets the salted digests of the valid API keys; two while keys are being rotated. */
    public ClientAccountBuilder keyDigests(List<ApiKeyDigest> value) {
        this.keyDigests = value;
        return this;
    }

    /** Sets the model versions that the account may use. */
    public ClientAccountBuilder versions(Set<VersionId> value) {
        this.versions = value;
        return this;
    }

    /** Sets the non-model services that the account may call. */
    public ClientAccountBuilder services(Set<ServiceId> value) {
        this.services = value;
        return this;
    }

    /** Sets the maximum concurrent requests of the account per entry; 64 by default. */
    public ClientAccountBuilder maxConcurrentRequests(int value) {
        this.maxConcurrentRequests = value;
        return this;
    }

    /**
     * Builds the account.
     *
     * @throws IllegalArgumentException if {@code maxConcurrentRequests} is less than 1
     */
    public ClientAccount build() {
        return new ClientAccount(id, keyDigests, versions, services, maxConcurrentRequests);
    }
}
