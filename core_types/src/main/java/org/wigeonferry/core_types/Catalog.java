package org.wigeonferry.core_types;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The whole configuration at one revision.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the revision this catalog results from
 * @param versions versions by name
 * @param accounts client accounts by name
 * @param requestClasses request classes by name
 * @param upstreams upstreams by name
 * @param disabledZones availability zones that operators have taken out
 */
public record Catalog(
        Revision revision,
        Map<VersionId, ModelVersion> versions,
        Map<AccountId, ClientAccount> accounts,
        Map<RequestClassId, RequestClass> requestClasses,
        Map<UpstreamId, Upstream> upstreams,
        Set<ZoneId> disabledZones) {
    public Catalog {
        versions = Map.copyOf(versions);
        accounts = Map.copyOf(accounts);
        requestClasses = Map.copyOf(requestClasses);
        upstreams = Map.copyOf(upstreams);
        disabledZones = Set.copyOf(disabledZones);
    }

    /** Starts a builder with the default of every optional field. */
    public static CatalogBuilder builder() {
        return new CatalogBuilder();
    }

    /** Starts a builder that holds this value's fields. */
    public CatalogBuilder toBuilder() {
        return new CatalogBuilder()
                .revision(revision)
                .versions(versions)
                .accounts(accounts)
                .requestClasses(requestClasses)
                .upstreams(upstreams)
                .disabledZones(disabledZones);
    }

    /** The catalog before the first release note. */
    public static final Catalog EMPTY = builder().build();

    /** Finds a version. */
    public Optional<ModelVersion> version(VersionId id) {
        return Optional.ofNullable(versions.get(id));
    }

    /** Finds a client account. */
    public Optional<ClientAccount> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /** Finds a request class. */
    public Optional<RequestClass> requestClass(RequestClassId id) {
        return Optional.ofNullable(requestClasses.get(id));
    }

    /** Finds an upstream. */
    public Optional<Upstream> upstream(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }
}
