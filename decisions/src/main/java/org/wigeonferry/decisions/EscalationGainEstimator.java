package org.wigeonferry.decisions;

import java.util.Map;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Estimates the gain in rating from escalating a request from one version to another, by request
 * class and by the rating of the best answer so far.
 *
 * <p>Older gains are weighted down exponentially. Invariant: at most {@link #MAX_ENTRIES} entries
 * are kept. Not thread safe; owned by the control thread.
 */
public final class EscalationGainEstimator {
    /** Maximum number of combinations of request class, both versions and rating bucket. */
    public static final int MAX_ENTRIES = 8192;

    /** Ratings from 0 to 1 are divided into this number of equal intervals. */
    private static final int RATING_BUCKETS = 5;

    /** Factor by which each new sample multiplies the weights of the earlier ones. */
    private static final double WEIGHT_FACTOR_PER_SAMPLE = 0.99;

    /** Number of samples that the prior counts as. */
    private static final double PRIOR_WEIGHT_SAMPLES = 3;

    private final Map<String, DecayingGainMean> gains = new LruMap<>(MAX_ENTRIES);

    /**
     * Estimated gain in rating if {@code to} answers a request after {@code from}. Without samples,
     * it is the expected quality of {@code to} less the best rating so far, but at least 0.
     */
    public double expectedGain(
            RequestClassId requestClass,
            ModelVersion from,
            ModelVersion to,
            double bestRatingSoFar) {
        double prior = Math.max(0, to.expectedRating() - bestRatingSoFar);
        return gains.getOrDefault(
                        key(requestClass, from, to, bestRatingSoFar), DecayingGainMean.NONE)
                .estimatedGain(prior, PRIOR_WEIGHT_SAMPLES);
    }

    /**
     * Records the gain in rating of a later stage. A loss counts as 0, as the better answer is the
     * one delivered.
     */
    public void onGain(
            RequestClassId requestClass,
            ModelVersion from,
            ModelVersion to,
            double bestRatingSoFar,
            double gain) {
        String key = key(requestClass, from, to, bestRatingSoFar);
        gains.put(
                key,
                gains.getOrDefault(key, DecayingGainMean.NONE)
                        .withGain(Math.max(0, gain), WEIGHT_FACTOR_PER_SAMPLE));
    }

    private static String key(
            RequestClassId requestClass,
            ModelVersion from,
            ModelVersion to,
            double bestRatingSoFar) {
        int ratingBucket = (int) Math.min(RATING_BUCKETS - 1, bestRatingSoFar * RATING_BUCKETS);
        return requestClass + "/" + from.id() + "/" + to.id() + "/" + ratingBucket;
    }
}
