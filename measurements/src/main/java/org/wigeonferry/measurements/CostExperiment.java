package org.wigeonferry.measurements;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.ToIntFunction;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ClientAccount;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;
import org.wigeonferry.core_types.RequestClassId;
import org.wigeonferry.core_types.RequestId;
import org.wigeonferry.core_types.VersionId;
import org.wigeonferry.decisions.CascadePolicy;
import org.wigeonferry.decisions.StageQuery;

/**
 * Cost at the quality target: the cascade against baselines and an oracle with hindsight.
 *
 * <p>Not thread safe.
 */
final class CostExperiment {
    private static final int REQUESTS = 40_000;
    private static final double TARGET = 0.7;
    private static final long SEED = 20_261_204;
    private static final RequestClassId CLASS = new RequestClassId("draft");

    private final List<double[]> requests = new ArrayList<>();

    private CostExperiment(CostMix mix) {
        Random random = new Random(SEED);
        for (int i = 0; i < REQUESTS; i++) {
            requests.add(mix.ratings(i, random));
        }
    }

    /** Rows of the page for a mix. */
    static String rows(String name) {
        CostExperiment experiment = new CostExperiment(CostMixes.named(name));
        List<CostResult> results = new ArrayList<>();
        CostResult oracle = experiment.oracle();
        results.add(experiment.fixed("always cheapest", r -> 0));
        results.add(experiment.fixed("always best", r -> CostMixes.COSTS.length - 1));
        results.add(experiment.randomStart());
        results.add(experiment.blindMix());
        results.add(experiment.cascade());
        results.add(oracle);
        StringBuilder rows = new StringBuilder();
        for (CostResult result : results) {
            rows.append(
                    String.format(
                            Locale.ROOT,
                            "| %s | %s | %.3f | %s | %.3f | %.2f |%n",
                            name,
                            result.policy(),
                            result.quality(),
                            result.quality() >= TARGET - 0.0005 ? "yes" : "no",
                            result.cost(),
                            result.cost() / oracle.cost()));
        }
        return rows.toString();
    }

    private CostResult fixed(String name, ToIntFunction<double[]> choice) {
        double cost = 0;
        double quality = 0;
        for (double[] ratings : requests) {
            int version = choice.applyAsInt(ratings);
            cost += CostMixes.COSTS[version];
            quality += ratings[version];
        }
        return result(name, cost, quality);
    }

    private CostResult randomStart() {
        Random random = new Random(SEED + 1);
        double cost = 0;
        double quality = 0;
        for (double[] ratings : requests) {
            int version = random.nextInt(CostMixes.COSTS.length);
            cost += CostMixes.COSTS[version];
            while (ratings[version] < TARGET && version < CostMixes.COSTS.length - 1) {
                version++;
                cost += CostMixes.COSTS[version];
            }
            quality += ratings[version];
        }
        return result("random start, escalate below target", cost, quality);
    }

    private CostResult cascade() {
        CascadePolicy cascade = new CascadePolicy(new Random(SEED + 2));
        Catalog catalog = catalog();
        ClientAccount account = catalog.accounts().values().iterator().next();
        double cost = 0;
        double quality = 0;
        for (int i = 0; i < requests.size(); i++) {
            StageQuery query =
                    new StageQuery(
                            account,
                            new RequestId("r" + i),
                            CLASS,
                            Optional.empty(),
                            Optional.empty(),
                            false);
            CostResult delivered =
                    run(cascade, cascade.chooseStages(query, catalog), requests.get(i));
            cost += delivered.cost();
            quality += delivered.quality();
        }
        return result("**wigeonferry's cascade**", cost, quality);
    }

    private static CostResult run(
            CascadePolicy cascade, List<ModelVersion> stages, double[] ratings) {
        double best = ratings[index(stages.get(0))];
        double cost = CostMixes.COSTS[index(stages.get(0))];
        cascade.onFirstStageRating(CLASS, stages.get(0), best);
        for (int stage = 1; stage < stages.size(); stage++) {
            ModelVersion before = stages.get(stage - 1);
            ModelVersion next = stages.get(stage);
            if (!cascade.shouldEscalate(CLASS, before, next, best)) {
                break;
            }
            double rating = ratings[index(next)];
            cost += CostMixes.COSTS[index(next)];
            cascade.onLaterStageRating(CLASS, before, next, best, rating);
            best = Math.max(best, rating);
        }
        cascade.onDeliveredRating(CLASS, TARGET, best);
        return new CostResult("", cost, best);
    }

    /** Knows the mean ratings beforehand and mixes two versions at random. */
    private CostResult blindMix() {
        CostResult low = fixed("", r -> 0);
        CostResult middle = fixed("", r -> 1);
        CostResult high = fixed("", r -> 2);
        boolean lower = middle.quality() >= TARGET;
        CostResult from = lower ? low : middle;
        CostResult to = lower ? middle : high;
        double share = (TARGET - from.quality()) / (to.quality() - from.quality());
        return new CostResult(
                "random mix of two versions, means known beforehand",
                from.cost() + share * (to.cost() - from.cost()),
                TARGET);
    }

    /**
     * Knows every rating beforehand: pays for one version a request, as little as the mean allows.
     */
    private CostResult oracle() {
        double low = 0;
        double high = 1000;
        for (int i = 0; i < 60; i++) {
            double price = (low + high) / 2;
            boolean met = fixed("", r -> cheapestAt(r, price)).quality() >= TARGET;
            low = met ? low : price;
            high = met ? price : high;
        }
        double price = high;
        return fixed("oracle with hindsight", r -> cheapestAt(r, price));
    }

    private static int cheapestAt(double[] ratings, double price) {
        int best = 0;
        for (int i = 1; i < ratings.length; i++) {
            double gain = price * (ratings[i] - ratings[best]);
            best = gain > CostMixes.COSTS[i] - CostMixes.COSTS[best] ? i : best;
        }
        return best;
    }

    private CostResult result(String name, double cost, double quality) {
        return new CostResult(name, cost / requests.size(), quality / requests.size());
    }

    private static int index(ModelVersion version) {
        return Integer.parseInt(version.model().substring(1));
    }

    private static Catalog catalog() {
        Map<VersionId, ModelVersion> versions = new HashMap<>();
        double[] expected = {0.5, 0.7, 0.9};
        for (int i = 0; i < CostMixes.COSTS.length; i++) {
            VersionId id = new VersionId("m" + i + "-1");
            versions.put(
                    id,
                    ModelVersion.builder()
                            .id(id)
                            .model("m" + i)
                            .costMicrosPerToken(CostMixes.COSTS[i])
                            .expectedRating(expected[i])
                            .build());
        }
        ClientAccount account =
                ClientAccount.builder()
                        .id(new AccountId("palace"))
                        .versions(versions.keySet())
                        .build();
        RequestClass type = RequestClass.builder().id(CLASS).qualityTarget(TARGET).build();
        return Catalog.builder()
                .versions(versions)
                .accounts(Map.of(account.id(), account))
                .requestClasses(Map.of(CLASS, type))
                .build();
    }
}
