package org.wigeonferry.decisions;

import java.util.Map;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Estimates the mean rating of each version in each request class from the ratings of first stages.
 *
 * <p>Older ratings are weighted down exponentially, so that the estimate follows a change in
 * quality. Invariant: at most {@link #MAX_ENTRIES} pairs of request class and version are kept. Not
 * thread safe; owned by the control thread.
 */
public final class RatingEstimator {
    /** Maximum number of pairs of request class and version. */
    public static final int MAX_ENTRIES = 4096;

    private final Map<String, DecayingRatingMean> means = new LruMap<>(MAX_ENTRIES);

    /** Estimated mean rating; without samples, the expected quality of the version. */
    public double expectedRating(RequestClassId requestClass, ModelVersion version) {
        return mean(requestClass, version).estimatedRating(version.expectedRating());
    }

    /**
     * Records the rating of a first stage. Ratings of later stages must not be recorded here: they
     * answer harder requests, which would bias the mean.
     */
    public void onRating(RequestClassId requestClass, ModelVersion version, double rating) {
        means.put(key(requestClass, version), mean(requestClass, version).withRating(rating));
    }

    private DecayingRatingMean mean(RequestClassId requestClass, ModelVersion version) {
        return means.getOrDefault(key(requestClass, version), DecayingRatingMean.NONE);
    }

    private static String key(RequestClassId requestClass, ModelVersion version) {
        return requestClass + "/" + version.id();
    }
}
