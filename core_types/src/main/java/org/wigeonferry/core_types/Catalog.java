package org.wigeonferry.core_types;

import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The catalog: the whole configuration at one revision.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the revision of this configuration
 * @param versions model versions by id
 * @param accounts client accounts by id
 * @param requestClasses request classes by id
 * @param upstreams upstreams by id
 * @param disabledZones availability zones that operators have disabled
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

    /** Returns a builder of the empty catalog. */
    public static CatalogBuilder builder() {
        return new CatalogBuilder();
    }

    /** Returns a builder initialised with the fields of this record. */
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

    /** Returns the model version with this id, or empty if it is not configured. */
    public Optional<ModelVersion> version(VersionId id) {
        return Optional.ofNullable(versions.get(id));
    }

    /** Returns the client account with this id, or empty if it is not configured. */
    public Optional<ClientAccount> account(AccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /** Returns the request class with this id, or empty if it is not configured. */
    public Optional<RequestClass> requestClass(RequestClassId id) {
        return Optional.ofNullable(requestClasses.get(id));
    }

    /** Returns the upstream with this id, or empty if it is not configured. */
    public Optional<Upstream> upstream(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }
}
