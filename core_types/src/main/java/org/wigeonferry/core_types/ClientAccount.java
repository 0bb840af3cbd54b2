package org.wigeonferry.core_types;

import java.util.List;
import java.util.Set;

/**
 * One client account and what it may use.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the name of the account
 * @param keyDigests salted digests of its valid keys; two during a rotation
 * @param versions versions that the account allows
 * @param services plain services that the account may call
 * @param maxInFlight most requests in flight at one entry
 */
public record ClientAccount(
        AccountId id,
        List<ApiKeyDigest> keyDigests,
        Set<VersionId> versions,
        Set<ServiceId> services,
        int maxInFlight) {
    public ClientAccount {
        keyDigests = List.copyOf(keyDigests);
        versions = Set.copyOf(versions);
        services = Set.copyOf(services);
        if (maxInFlight < 1) {
            throw new IllegalArgumentException("max-in-flight below one");
        }
    }

    /** Starts a builder with the default of every optional field. */
    public static ClientAccountBuilder builder() {
        return new ClientAccountBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public ClientAccountBuilder toBuilder() {
        return new ClientAccountBuilder()
                .id(id)
                .keyDigests(keyDigests)
                .versions(versions)
                .services(services)
                .maxInFlight(maxInFlight);
    }
}
