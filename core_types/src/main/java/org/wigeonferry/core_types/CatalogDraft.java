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
    private final Map<ClassId, RequestClass> classes;
    private final Map<UpstreamId, Upstream> upstreams;
    private final Set<ZoneId> zonesOut;

    /** Starts from a catalog. */
    public CatalogDraft(Catalog base) {
        versions = new HashMap<>(base.versions());
        accounts = new HashMap<>(base.accounts());
        classes = new HashMap<>(base.classes());
        upstreams = new HashMap<>(base.upstreams());
        zonesOut = new HashSet<>(base.zonesOut());
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
    public Map<ClassId, RequestClass> classes() {
        return classes;
    }

    /** Upstreams by name; may be changed. */
    public Map<UpstreamId, Upstream> upstreams() {
        return upstreams;
    }

    /** Availability zones taken out; may be changed. */
    public Set<ZoneId> zonesOut() {
        return zonesOut;
    }

    /** Makes the catalog of a revision from this draft. */
    public Catalog toCatalog(Revision revision) {
        return Catalog.builder()
                .revision(revision)
                .versions(versions)
                .accounts(accounts)
                .classes(classes)
                .upstreams(upstreams)
                .zonesOut(zonesOut)
                .build();
    }
}
