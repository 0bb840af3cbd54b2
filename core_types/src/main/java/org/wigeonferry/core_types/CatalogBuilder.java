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

    /** Sets the revision of this configuration. */
    public CatalogBuilder revision(Revision value) {
        this.revision = value;
        return this;
    }

    /** Sets the model versions by id. */
    public CatalogBuilder versions(Map<VersionId, ModelVersion> value) {
        this.versions = value;
        return this;
    }

    /** Sets the client accounts by id. */
    public CatalogBuilder accounts(Map<AccountId, ClientAccount> value) {
        this.accounts = value;
        return this;
    }

    /** Sets the request classes by id. */
    public CatalogBuilder requestClasses(Map<RequestClassId, RequestClass> value) {
        this.requestClasses = value;
        return this;
    }

    /** Sets the upstreams by id. */
    public CatalogBuilder upstreams(Map<UpstreamId, Upstream> value) {
        this.upstreams = value;
        return this;
    }

    /** Sets the availability zones that operators have disabled. */
    public CatalogBuilder disabledZones(Set<ZoneId> value) {
        this.disabledZones = value;
        return this;
    }

    /** Builds the catalog from copies of the maps and the set. */
    public Catalog build() {
        return new Catalog(revision, versions, accounts, requestClasses, upstreams, disabledZones);
    }
}
