package org.wigeonferry.decisions;

import java.util.function.Predicate;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.Upstream;

/**
 * Predicates on upstreams.
 *
 * <p>Stateless and thread safe.
 */
final class UpstreamPredicates {
    private UpstreamPredicates() {}

    /** Matches upstreams that serve the version or service of the query. */
    static Predicate<Upstream> serves(RouteQuery query) {
        return upstream ->
                query.version().map(upstream.versions()::contains).orElse(true)
                        && query.service().map(upstream.services()::contains).orElse(true);
    }

    /** Matches upstreams that take new work. */
    static Predicate<Upstream> notDraining() {
        return upstream -> !upstream.draining();
    }

    /** Matches upstreams outside the availability zones that operators disabled. */
    static Predicate<Upstream> notInDisabledZone(Catalog catalog) {
        return upstream -> !catalog.disabledZones().contains(upstream.zone());
    }

    /** Matches upstreams that the request has not tried. */
    static Predicate<Upstream> notYetTried(RouteQuery query) {
        return upstream -> !query.triedUpstreams().contains(upstream.id());
    }
}
