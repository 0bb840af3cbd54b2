package org.wigeonferry.decisions;

import java.util.function.Predicate;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.Upstream;

/**
 * Small tests of upstreams, to be combined.
 *
 * <p>Stateless and thread safe.
 */
final class UpstreamPredicates {
    private UpstreamPredicates() {}

    /** Upstreams that serve the version or service of the query. */
    static Predicate<Upstream> serves(RouteQuery query) {
        return upstream ->
                query.version().map(upstream.versions()::contains).orElse(true)
                        && query.service().map(upstream.services()::contains).orElse(true);
    }

    /** Upstreams that stay. */
    static Predicate<Upstream> notDraining() {
        return upstream -> !upstream.draining();
    }

    /** Upstreams in availability zones that were not taken out. */
    static Predicate<Upstream> notInDisabledZone(Catalog catalog) {
        return upstream -> !catalog.disabledZones().contains(upstream.zone());
    }

    /** Upstreams that the query has not tried. */
    static Predicate<Upstream> notYetTried(RouteQuery query) {
        return upstream -> !query.triedUpstreams().contains(upstream.id());
    }
}
