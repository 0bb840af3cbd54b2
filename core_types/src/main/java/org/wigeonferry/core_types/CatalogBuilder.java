package org.wigeonferry.core_types;

import java.util.Map;
import java.util.Set;

/**
 * Builds a {@link Catalog}.
 *
 * <p>Not thread safe; a builder belongs to the thread that made it.
 */
public final class CatalogBuilder {
    private Revision revision = Revision.NONE;
    private Map<VersionId, ModelVersion> versions = Map.of();
    private Map<AccountId, ClientAccount> accounts = Map.of();
    private Map<RequestClassId, RequestClass> requestClasses = Map.of();
    private Map<UpstreamId, Upstream> upstreams = Map.of();
    private Set<ZoneId> disabledZones = Set.of();

    CatalogBuilder() {}

    /** Sets the revision this catalog results from. */
    public CatalogBuilder revision(Revision value) {
        this.revision = value;
        return this;
    }

    /** Sets versions by name. */
    public CatalogBuilder versions(Map<VersionId, ModelVersion> value) {
        this.versions = value;
        return this;
    }

    /** Sets client accounts by name. */
    public CatalogBuilder accounts(Map<AccountId, ClientAccount> value) {
        this.accounts = value;
        return this;
    }

    /** Sets request classes by name. */
    public CatalogBuilder requestClasses(Map<RequestClassId, RequestClass> value) {
        this.requestClasses = value;
        return this;
    }

    /** Sets upstreams by name. */
    public CatalogBuilder upstreams(Map<UpstreamId, Upstream> value) {
        this.upstreams = value;
        return this;
    }

    /** Sets availability zones that operators have taken out. */
    public CatalogBuilder disabledZones(Set<ZoneId> value) {
        this.disabledZones = value;
        return this;
    }

    /** Builds the value; fails on a field that breaks an invariant of {@link Catalog}. */
    public Catalog build() {
        return new Catalog(revision, versions, accounts, requestClasses, upstreams, disabledZones);
    }
}
