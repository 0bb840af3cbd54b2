package org.wigeonferry.core_types;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A mutable copy of a catalog to which the changes of a release note are applied.
 *
 * <p>Not thread safe; a draft belongs to the thread that made it. The catalog it was copied from is
 * never altered.
 */
public final class CatalogDraft {
    private final Map<VersionId, ModelVersion> versions;
    private final Map<AccountId, ClientAccount> accounts;
    private final Map<RequestClassId, RequestClass> requestClasses;
    private final Map<UpstreamId, Upstream> upstreams;
    private final Set<ZoneId> disabledZones;

    /** Copies the content of a catalog, but not its revision. */
    public CatalogDraft(Catalog base) {
        versions = new HashMap<>(base.versions());
        accounts = new HashMap<>(base.accounts());
        requestClasses = new HashMap<>(base.requestClasses());
        upstreams = new HashMap<>(base.upstreams());
        disabledZones = new HashSet<>(base.disabledZones());
    }

    /** Returns the model versions by id, as a live map that callers change. */
    public Map<VersionId, ModelVersion> versions() {
        return versions;
    }

    /** Returns the client accounts by id, as a live map that callers change. */
    public Map<AccountId, ClientAccount> accounts() {
        return accounts;
    }

    /** Returns the request classes by id, as a live map that callers change. */
    public Map<RequestClassId, RequestClass> requestClasses() {
        return requestClasses;
    }

    /** Returns the upstreams by id, as a live map that callers change. */
    public Map<UpstreamId, Upstream> upstreams() {
        return upstreams;
    }

    /** Returns the disabled availability zones, as a live set that callers change. */
    public Set<ZoneId> disabledZones() {
        return disabledZones;
    }

    /** Returns an immutable catalog with the content of this draft and the given revision. */
    public Catalog toCatalog(Revision revision) {
        return Catalog.builder()
                .revision(revision)
                .versions(versions)
                .accounts(accounts)
                .requestClasses(requestClasses)
                .upstreams(upstreams)
                .disabledZones(disabledZones)
                .build();
    }
}
