package org.wigeonferry.core_types;

import java.util.List;
import java.util.Set;

/**
 * One client account and what it may use.
 *
 * <p>Immutable and thread safe.
 *
 * @param id the id of the account
 * @param keyDigests salted digests of its valid API keys; two while keys are being rotated
 * @param versions model versions that the account may use
 * @param services non-model services that the account may call
 * @param maxConcurrentRequests maximum concurrent requests of the account per entry, the process
 *     that takes requests from callers; at least 1
 */
public record ClientAccount(
        AccountId id,
        List<ApiKeyDigest> keyDigests,
        Set<VersionId> versions,
        Set<ServiceId> services,
        int maxConcurrentRequests) {
    public ClientAccount {
        keyDigests = List.copyOf(keyDigests);
        versions = Set.copyOf(versions);
        services = Set.copyOf(services);
        if (maxConcurrentRequests < 1) {
            throw new IllegalArgumentException("max-in-flight must be at least 1");
        }
    }

    /** Returns a builder; the id must be set. The account may use nothing by default. */
    public static ClientAccountBuilder builder() {
        return new ClientAccountBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
    public ClientAccountBuilder toBuilder() {
        return new ClientAccountBuilder()
                .id(id)
                .keyDigests(keyDigests)
                .versions(versions)
                .services(services)
                .maxConcurrentRequests(maxConcurrentRequests);
    }
}
