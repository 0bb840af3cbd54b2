package org.wigeonferry.measurements;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.Upstream;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.decisions.RouteQuery;
import org.wigeonferry.decisions.SubsetSelection;
import org.wigeonferry.decisions.UpstreamChooser;
import org.wigeonferry.decisions.UpstreamChoosers;
import org.wigeonferry.decisions.UpstreamRouter;
import org.wigeonferry.stand_ins.VirtualTime;

/**
 * Time to the first token with different choices of an upstream, in virtual time.
 *
 * <p>Ten entries with a router each, forty upstreams that serve in the order of arrival. Not thread
 * safe.
 */
final class QueueingExperiment {
    private static final int UPSTREAMS = 40;
    private static final int ENTRIES = 10;
    private static final int SLOTS = 4;
    private static final int REQUESTS = 40_000;
    private static final Duration SERVICE = Duration.ofMillis(200);
    private static final Duration FIRST_TOKEN = Duration.ofMillis(50);
    private static final double LOAD = 0.8;
    private static final long SEED = 20_261_204;

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(SEED);
    private final Catalog catalog = Workload.catalog(UPSTREAMS, 1, 1);
    private final List<UpstreamRouter> routers = new ArrayList<>();
    private final List<QueueingServer> servers = new ArrayList<>();
    private final List<Double> firstTokens = new ArrayList<>();

    private QueueingExperiment(Function<Random, UpstreamChooser> choice, int subset, int slowOnes) {
        for (int i = 0; i < ENTRIES; i++) {
            SubsetSelection subsets = new SubsetSelection(new NodeId("entry-" + i), subset);
            routers.add(new UpstreamRouter(subsets, choice.apply(new Random(SEED + i))));
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            servers.add(new QueueingServer(time, SLOTS, i < slowOnes ? 4 : 1));
        }
    }

    /** Rows of the page. */
    static String rows() {
        StringBuilder rows = new StringBuilder();
        for (int slow : List.of(0, 1)) {
            String condition = slow == 0 ? "all alike" : "one of 40 four times as slow";
            rows.append(
                    row(
                            condition,
                            "better of two in 16 (in use)",
                            UpstreamChoosers::powerOfTwoChoices,
                            16,
                            slow));
            rows.append(
                    row(
                            condition,
                            "better of two in all 40",
                            UpstreamChoosers::powerOfTwoChoices,
                            40,
                            slow));
            rows.append(
                    row(condition, "random in 16", UpstreamChoosers::uniformlyRandom, 16, slow));
            rows.append(
                    row(
                            condition,
                            "least expected in 16, reports as stale as answers",
                            r -> UpstreamChoosers.leastExpectedLatency(),
                            16,
                            slow));
        }
        return rows.toString();
    }

    private static String row(
            String condition,
            String name,
            Function<Random, UpstreamChooser> choice,
            int subset,
            int slowOnes) {
        QueueingExperiment experiment = new QueueingExperiment(choice, subset, slowOnes);
        experiment.run();
        List<Double> sorted = experiment.firstTokens;
        Collections.sort(sorted);
        return String.format(
                Locale.ROOT,
                "| %s | %s | %.0f | %.0f | %.0f |%n",
                condition,
                name,
                sorted.get(sorted.size() / 2),
                sorted.get((int) (sorted.size() * 0.95)),
                sorted.get((int) (sorted.size() * 0.99)));
    }

    private void run() {
        double meanNanos = SERVICE.plus(FIRST_TOKEN).toNanos();
        double meanGapNanos = meanNanos / (LOAD * UPSTREAMS * SLOTS);
        double at = 0;
        for (int i = 0; i < REQUESTS; i++) {
            at += -Math.log(1 - random.nextDouble()) * meanGapNanos;
            UpstreamRouter router = routers.get(random.nextInt(ENTRIES));
            time.after(Duration.ofNanos((long) at), () -> arrive(router));
        }
        time.run(Duration.ofMinutes(60));
    }

    private void arrive(UpstreamRouter router) {
        RouteQuery query =
                new RouteQuery(
                        new AccountId("account-0"),
                        Optional.of(new VersionId("version-0")),
                        Optional.empty(),
                        Set.of());
        Upstream upstream = router.route(query, catalog, time.nanoTime()).orElseThrow();
        router.onAttemptSent(upstream.id());
        int number = Integer.parseInt(upstream.id().value().substring("upstream-".length()));
        QueueingServer server = servers.get(number);
        long arrived = time.nanoTime();
        double length = -Math.log(1 - random.nextDouble());
        server.serve(
                FIRST_TOKEN,
                Duration.ofNanos((long) (length * SERVICE.toNanos())),
                () -> {
                    Duration latency = Duration.ofNanos(time.nanoTime() - arrived);
                    firstTokens.add(latency.toNanos() / 1e6);
                    router.onFirstToken(upstream.id(), latency);
                },
                () -> {
                    router.onAttemptEnded(upstream.id());
                    router.onLoadReport(upstream.id(), server.inFlight(), SLOTS);
                });
    }
}
