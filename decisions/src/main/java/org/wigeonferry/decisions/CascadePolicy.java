package org.wigeonferry.decisions;

import java.util.List;
import java.util.Random;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Starts and escalates where a point of rating is worth its cost.
 *
 * <p>At the price {@code p} of a point of rating, a request starts at the version with the greatest
 * {@code p * expected rating - cost}, and goes on to the next one while {@code p * expected gain}
 * exceeds the next one's cost. The price moves until the mean rating of what is delivered meets the
 * class's target ({@link QualityPriceController}). A small share of requests starts elsewhere, so
 * that a version that has become better or worse shows. Not thread safe; owned by the control
 * thread.
 */
public final class CascadePolicy implements StagePolicy {
    /** Share of requests that explore. */
    private static final double EXPLORATION = 0.02;

    private final RatingEstimator quality = new RatingEstimator();
    private final EscalationGainEstimator gains = new EscalationGainEstimator();
    private final QualityPriceController prices = new QualityPriceController();
    private final Random random;

    /** Explores by the given source of randomness. */
    public CascadePolicy(Random random) {
        this.random = random;
    }

    @Override
    public List<ModelVersion> stages(StageQuery query, Catalog catalog) {
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
        boolean explore = random.nextDouble() < EXPLORATION;
        int start =
                explore ? random.nextInt(eligible.size()) : start(query.requestClass(), eligible);
        return eligible.subList(start, eligible.size());
    }

    /** Tells whether an answer with this rating is worth a further stage. */
    public boolean shouldEscalate(
            RequestClassId type, ModelVersion from, ModelVersion to, double bestRating) {
        double gain = gains.expectedGain(type, from, to, bestRating);
        return prices.price(type, to.costMicrosPerToken()) * gain > to.costMicrosPerToken();
    }

    /** Notes the rating of a first stage. */
    public void onFirstStageRating(RequestClassId type, ModelVersion version, double rating) {
        quality.onRating(type, version, rating);
    }

    /** Notes what a further stage gained over the best answer before. */
    public void onFurtherStageRating(
            RequestClassId type, ModelVersion from, ModelVersion to, double before, double rating) {
        gains.onGain(type, from, to, before, rating - before);
    }

    /** Notes the rating of what was delivered. */
    public void onDeliveredRating(RequestClassId type, double target, double rating) {
        prices.onDeliveredRating(type, target, rating);
    }

    /** Forgets classes that a catalog no longer lists. */
    public void onCatalog(Catalog catalog) {
        prices.retainClasses(catalog.requestClasses().keySet());
    }

    private int start(RequestClassId type, List<ModelVersion> eligible) {
        double dearest = eligible.get(eligible.size() - 1).costMicrosPerToken();
        double price = prices.price(type, dearest);
        int best = 0;
        double greatest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < eligible.size(); i++) {
            ModelVersion version = eligible.get(i);
            double worth =
                    price * quality.expectedRating(type, version) - version.costMicrosPerToken();
            if (worth > greatest) {
                greatest = worth;
                best = i;
            }
        }
        return best;
    }
}
