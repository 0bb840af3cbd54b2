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
 * Chooses the few upstreams of each version and service on which an entry keeps state.
 *
 * <p>Half of the subset comes from all zones by weight alone, so that each entry's choice differs
 * and load spreads; the sequence is stable: a change of one upstream moves one place at most. The
 * subsets are computed once a catalog. Not thread safe; owned by the control thread.
 */
public final class SubsetSelection {
    private final NodeId self;
    private final int size;
    private Catalog computedFor = Catalog.EMPTY;
    private final Map<VersionId, List<Upstream>> byVersion = new HashMap<>();
    private final Map<ServiceId, List<Upstream>> byService = new HashMap<>();

    /** Keeps {@code size} upstreams a version. */
    public SubsetSelection(NodeId self, int size) {
        this.self = self;
        this.size = size;
    }

    /** The subset for a query. */
    public List<Upstream> subset(RouteQuery query, Catalog catalog) {
        if (catalog != computedFor) {
            computedFor = catalog;
            byVersion.clear();
            byService.clear();
        }
        if (query.version().isPresent()) {
            return byVersion.computeIfAbsent(
                    query.version().get(), version -> compute(query, catalog));
        }
        return byService.computeIfAbsent(
                query.service().orElseThrow(), service -> compute(query, catalog));
    }

    private List<Upstream> compute(RouteQuery query, Catalog catalog) {
        return catalog.upstreams().values().stream()
                .filter(UpstreamPredicates.serves(query))
                .filter(UpstreamPredicates.notDraining())
                .filter(UpstreamPredicates.notInDisabledZone(catalog))
                .sorted(Comparator.comparingLong(this::weight))
                .limit(size)
                .toList();
    }

    private long weight(Upstream upstream) {
        return RendezvousHash.weight(self.value(), upstream.id().value());
    }
}
