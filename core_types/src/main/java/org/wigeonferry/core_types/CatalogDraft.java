package org.wigeonferry.core_types;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A catalog under change.
 *
 * <p>Not thread safe; a draft belongs to the thread that made it. The catalog it started from is
 * never altered.
 */
public final class CatalogDraft {
    private final Map<VersionId, ModelVersion> versions;
    private final Map<AccountId, ClientAccount> accounts;
    private final Map<RequestClassId, RequestClass> requestClasses;
    private final Map<UpstreamId, Upstream> upstreams;
    private final Set<ZoneId> disabledZones;

    /** Starts from a catalog. */
    public CatalogDraft(Catalog base) {
        versions = new HashMap<>(base.versions());
        accounts = new HashMap<>(base.accounts());
        requestClasses = new HashMap<>(base.requestClasses());
        upstreams = new HashMap<>(base.upstreams());
        disabledZones = new HashSet<>(base.disabledZones());
    }

    /** Versions by name; may be changed. */
    public Map<VersionId, ModelVersion> versions() {
        return versions;
    }

    /** Client accounts by name; may be changed. */
    public Map<AccountId, ClientAccount> accounts() {
        return accounts;
    }

    /** Request classes by name; may be changed. */
    public Map<RequestClassId, RequestClass> requestClasses() {
        return requestClasses;
    }

    /** Upstreams by name; may be changed. */
    public Map<UpstreamId, Upstream> upstreams() {
        return upstreams;
    }

    /** Availability zones taken out; may be changed. */
    public Set<ZoneId> disabledZones() {
        return disabledZones;
    }

    /** Makes the catalog of a revision from this draft. */
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
