package org.wigeonferry.decisions;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.ServiceId;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.VersionId;

/**
 * Selects, for each version and service, the small subset of upstreams that an entry sends to and
 * keeps load estimates for.
 *
 * <p>The subset is selected by a rendezvous hash of the entry and the upstream, among the upstreams
 * of all enabled zones. Subsets thus differ between entries, which spreads the load. Adding or
 * removing one upstream replaces at most one member of the subset. Subsets are computed once per
 * catalog. Not thread safe; owned by the control thread.
 */
public final class SubsetSelection {
    private final NodeId self;
    private final int subsetSize;
    private Catalog catalogOfSubsets = Catalog.EMPTY;
    private final Map<VersionId, List<Upstream>> byVersion = new HashMap<>();
    private final Map<ServiceId, List<Upstream>> byService = new HashMap<>();

    /** Selects at most {@code subsetSize} upstreams for each version and for each service. */
    public SubsetSelection(NodeId self, int subsetSize) {
        this.self = self;
        this.subsetSize = subsetSize;
    }

    /** Subset for the version or service of the query, including upstreams already tried. */
    public List<Upstream> subset(RouteQuery query, Catalog catalog) {
        if (catalog != catalogOfSubsets) {
            catalogOfSubsets = catalog;
            byVersion.clear();
            byService.clear();
        }
        if (query.version().isPresent()) {
            return byVersion.computeIfAbsent(
                    query.version().get(), version -> computeSubset(query, catalog));
        }
        return byService.computeIfAbsent(
                query.service().orElseThrow(), service -> computeSubset(query, catalog));
    }

    private List<Upstream> computeSubset(RouteQuery query, Catalog catalog) {
        return catalog.upstreams().values().stream()
                .filter(UpstreamPredicates.serves(query))
                .filter(UpstreamPredicates.notDraining())
                .filter(UpstreamPredicates.notInDisabledZone(catalog))
                .sorted(Comparator.comparingLong(this::weight))
                .limit(subsetSize)
                .toList();
    }

    /** Sort key of an upstream; the upstreams with the lowest weights form the subset. */
    private long weight(Upstream upstream) {
        return RendezvousHash.weight(self.value(), upstream.id().value());
    }
}
