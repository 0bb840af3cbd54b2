package org.wigeonferry.decisions;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClass;

/**
 * Starts a cascade where its expected cost is least.
 *
 * <p>With {@code p(i)} the share of stage {@code i}'s answers that are accepted and {@code c(i)}
 * its cost, a start at stage {@code i} costs {@code E(i) = c(i) + (1 - p(i)) * E(i + 1)}. A request
 * that can run one stage only starts at the cheapest version whose expected rating meets the
 * target. A small share of requests starts one stage lower, to notice a version that has become
 * better.
 */
public final class CascadePolicy {
    /** Share of requests that explore. */
    private static final double EXPLORATION = 0.02;

    private CascadePolicy() {}

    /** The policy over learnt quality. */
    public static StagePolicy policy(
            QualityTable quality, AcceptanceThreshold thresholds, Random random) {
        return (query, catalog) -> {
            if (query.session().isPresent()) {
                return sessionStage(query, catalog);
            }
            List<ModelVersion> eligible = VersionChoice.eligible(query, catalog);
            if (eligible.size() < 2) {
                return eligible;
            }
            double target =
                    catalog.requestClass(query.requestClass())
                            .map(RequestClass::qualityTarget)
                            .orElse(0.0);
            double threshold = thresholds.threshold(query.requestClass(), target);
            int start =
                    query.singleStage()
                            ? firstMeeting(eligible, query, quality, target)
                            : cheapestStart(eligible, query, quality, threshold);
            boolean explore = start > 0 && random.nextDouble() < EXPLORATION;
            return eligible.subList(explore ? start - 1 : start, eligible.size());
        };
    }

    private static List<ModelVersion> sessionStage(StageQuery query, Catalog catalog) {
        Optional<ModelVersion> version =
                VersionChoice.successor(query.session().orElseThrow(), catalog)
                        .filter(VersionPredicates.allowedTo(query.account()));
        return version.stream().toList();
    }

    private static int firstMeeting(
            List<ModelVersion> stages, StageQuery query, QualityTable quality, double target) {
        for (int i = 0; i < stages.size(); i++) {
            if (quality.expectedRating(query.requestClass(), stages.get(i)) >= target) {
                return i;
            }
        }
        return stages.size() - 1;
    }

    private static int cheapestStart(
            List<ModelVersion> stages, StageQuery query, QualityTable quality, double threshold) {
        int last = stages.size() - 1;
        int best = last;
        double expected = stages.get(last).costMicrosPerToken();
        double leastCost = expected;
        for (int i = last - 1; i >= 0; i--) {
            double accepted =
                    quality.expectedAcceptance(query.requestClass(), stages.get(i), threshold);
            expected = stages.get(i).costMicrosPerToken() + (1 - accepted) * expected;
            if (expected <= leastCost) {
                leastCost = expected;
                best = i;
            }
        }
        return best;
    }
}
