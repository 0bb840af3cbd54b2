package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.decisions.CascadePolicy;
import org.wigeonferry.decisions.RouteQuery;
import org.wigeonferry.decisions.StagePolicy;
import org.wigeonferry.decisions.StageQuery;
import org.wigeonferry.decisions.SubsetSelection;
import org.wigeonferry.decisions.UpstreamChoosers;
import org.wigeonferry.decisions.UpstreamRouter;

/**
 * Cost of one decision: stages and upstream of one request.
 *
 * <p>Not thread safe.
 */
final class RoutingCost {
    private static final int REPEATS = 20_000;
    private static final int SUBSET = 16;
    private static final int ACCOUNTS = 50;
    private static final int TARGET_UPSTREAMS = 1900;
    private static final int TARGET_VERSIONS = 31;

    private RoutingCost() {}

    static List<Series> measure() {
        IntFunction<Catalog> byUpstreams =
                count -> Workload.catalog(count, TARGET_VERSIONS, ACCOUNTS);
        IntFunction<Catalog> byVersions =
                count -> Workload.catalog(TARGET_UPSTREAMS, count, ACCOUNTS);
        List<Integer> upstreams = List.of(100, 475, 950, 1900);
        List<Integer> versions = List.of(4, 10, 20, 31);
        return List.of(
                series("decision", "ns", "upstreams", upstreams, byUpstreams, Cost::nanos, 1900),
                series("decision", "ns", "versions", versions, byVersions, Cost::nanos, 31),
                series(
                        "garbage of a decision",
                        "bytes",
                        "versions",
                        versions,
                        byVersions,
                        Cost::bytes,
                        31));
    }

    private static Series series(
            String name,
            String unit,
            String over,
            List<Integer> sizes,
            IntFunction<Catalog> catalogs,
            ToDoubleFunction<Cost> part,
            double target) {
        List<Point> points = new ArrayList<>();
        for (int size : sizes) {
            points.add(new Point(size, part.applyAsDouble(cost(catalogs.apply(size)))));
        }
        return new Series(name, unit, over, points, target);
    }

    private static Cost cost(Catalog catalog) {
        Random random = new Random(7);
        StagePolicy policy = new CascadePolicy(random);
        UpstreamRouter router =
                new UpstreamRouter(
                        new SubsetSelection(new NodeId("entry-1"), SUBSET),
                        UpstreamChoosers.powerOfTwoChoices(random));
        ClientAccount account = catalog.accounts().values().iterator().next();
        RequestId id = new RequestId("r1");
        StageQuery query =
                new StageQuery(
                        account, id, Workload.CLASS, Optional.empty(), Optional.empty(), false);
        return Cost.of(
                REPEATS,
                () -> {
                    List<ModelVersion> stages = policy.chooseStages(query, catalog);
                    RouteQuery route =
                            new RouteQuery(
                                    account.id(),
                                    Optional.of(stages.get(0).id()),
                                    Optional.empty(),
                                    Set.of());
                    Upstream upstream = router.route(route, catalog, 0).orElseThrow();
                    router.onAttemptSent(upstream.id());
                    router.onFirstToken(upstream.id(), Duration.ofMillis(300));
                    router.onLoadReport(upstream.id(), 3, 64);
                    router.onAttemptEnded(upstream.id());
                });
    }
}
