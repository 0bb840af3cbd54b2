package org.wigeonferry.decisions;

import java.util.List;
import java.util.Random;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Chooses the first version for a request, and whether to escalate to the next, by weighing
 * expected rating against cost.
 *
 * <p>Ratings lie between 0 and 1. {@link QualityPriceController} sets, for each request class, the
 * price {@code p}: the cost that is acceptable for raising the rating by 1. A request starts at the
 * version with the greatest {@code p * expected rating - cost}, and escalates to the next more
 * expensive one while {@code p * expected gain in rating} exceeds the cost of that version. The
 * price is adjusted until the mean rating of delivered answers meets the target of the class. A
 * small share of requests starts at a random version, so that the policy notices when the quality
 * of a version changes. Not thread safe; owned by the control thread.
 */
public final class CascadePolicy implements StagePolicy {
    /** Share of requests that start at a random version, so that all versions are rated. */
    private static final double EXPLORATION_SHARE = 0.02;

    private final RatingEstimator ratings = new RatingEstimator();
    private final EscalationGainEstimator gains = new EscalationGainEstimator();
    private final QualityPriceController qualityPrices = new QualityPriceController();
    private final Random random;

    /** Creates a policy that picks the requests and versions for exploration by {@code random}. */
    public CascadePolicy(Random random) {
        this.random = random;
    }

    @Override
    public List<ModelVersion> chooseStages(StageQuery query, Catalog catalog) {
        // A session stays on its version, or moves to the successor if that was withdrawn. There is
        // no stage if neither is in service or the account may not use it.
        if (query.sessionVersion().isPresent()) {
            return EligibleVersions.resolveSessionVersion(query.sessionVersion().get(), catalog)
                    .filter(VersionPredicates.allowedTo(query.account()))
                    .stream()
                    .toList();
        }
        List<ModelVersion> eligible = EligibleVersions.forQuery(query, catalog);
        if (eligible.size() < 2) {
            return eligible;
        }
        boolean explore = random.nextDouble() < EXPLORATION_SHARE;
        int startIndex =
                explore
                        ? random.nextInt(eligible.size())
                        : bestStartIndex(query.requestClass(), eligible);
        return eligible.subList(startIndex, eligible.size());
    }

    /**
     * Tells whether to run the next stage: whether the gain in rating expected from {@code to} is
     * worth its cost, given the best rating so far.
     */
    public boolean shouldEscalate(
            RequestClassId requestClass,
            ModelVersion from,
            ModelVersion to,
            double bestRatingSoFar) {
        double gain = gains.expectedGain(requestClass, from, to, bestRatingSoFar);
        return qualityPrices.priceOrInitial(requestClass, to.costMicrosPerToken()) * gain
                > to.costMicrosPerToken();
    }

    /** Records the rating of a first stage. */
    public void onFirstStageRating(
            RequestClassId requestClass, ModelVersion version, double rating) {
        ratings.onRating(requestClass, version, rating);
    }

    /** Records the rating of a later stage and the best rating of the stages before it. */
    public void onLaterStageRating(
            RequestClassId requestClass,
            ModelVersion from,
            ModelVersion to,
            double bestRatingSoFar,
            double rating) {
        gains.onGain(requestClass, from, to, bestRatingSoFar, rating - bestRatingSoFar);
    }

    /** Records the rating of the answer that the caller received, and the target of its class. */
    public void onDeliveredRating(RequestClassId requestClass, double target, double rating) {
        qualityPrices.onDeliveredRating(requestClass, target, rating);
    }

    /** Drops the prices of request classes that the catalog no longer lists. */
    public void onCatalogChange(Catalog catalog) {
        qualityPrices.retainClasses(catalog.requestClasses().keySet());
    }

    /** Index of the version with the greatest price times expected rating, less its cost. */
    private int bestStartIndex(RequestClassId requestClass, List<ModelVersion> eligible) {
        double highestCost = eligible.get(eligible.size() - 1).costMicrosPerToken();
        double price = qualityPrices.priceOrInitial(requestClass, highestCost);
        int bestIndex = 0;
        double bestValue = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < eligible.size(); i++) {
            ModelVersion version = eligible.get(i);
            double value =
                    price * ratings.expectedRating(requestClass, version)
                            - version.costMicrosPerToken();
            if (value > bestValue) {
                bestValue = value;
                bestIndex = i;
            }
        }
        return bestIndex;
    }
}
