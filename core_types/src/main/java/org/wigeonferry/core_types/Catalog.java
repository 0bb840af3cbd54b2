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
 * @param classes request classes by name
 * @param upstreams upstreams by name
 * @param zonesOut availability zones that operators have taken out
 */
public record Catalog(
        Revision revision,
        Map<VersionId, ModelVersion> versions,
        Map<AccountId, ClientAccount> accounts,
        Map<ClassId, RequestClass> classes,
        Map<UpstreamId, Upstream> upstreams,
        Set<ZoneId> zonesOut) {
    public Catalog {
        versions = Map.copyOf(versions);
        accounts = Map.copyOf(accounts);
        classes = Map.copyOf(classes);
        upstreams = Map.copyOf(upstreams);
        zonesOut = Set.copyOf(zonesOut);
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
                .classes(classes)
                .upstreams(upstreams)
                .zonesOut(zonesOut);
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
    public Optional<RequestClass> requestClass(ClassId id) {
        return Optional.ofNullable(classes.get(id));
    }

    /** Finds an upstream. */
    public Optional<Upstream> upstream(UpstreamId id) {
        return Optional.ofNullable(upstreams.get(id));
    }
}
