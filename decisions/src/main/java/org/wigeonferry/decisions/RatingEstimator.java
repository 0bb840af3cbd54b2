package org.wigeonferry.decisions;

import java.util.Map;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Learns how well each version answers each class, from ratings of first stages.
 *
 * <p>Old ratings fade, so that a drift shows. Invariant: at most {@link #MAX_ENTRIES} pairs are
 * kept. Not thread safe; owned by the control thread.
 */
public final class RatingEstimator {
    /** Most pairs of class and version. */
    public static final int MAX_ENTRIES = 4096;

    private final Map<String, DecayingRatingMean> records = new LruMap<>(MAX_ENTRIES);

    /** Mean rating that is expected of a version. */
    public double expectedRating(RequestClassId type, ModelVersion version) {
        return record(type, version).estimatedRating(version.expectedQuality());
    }

    /** Notes the rating of a first stage; later stages get harder requests. */
    public void onRating(RequestClassId type, ModelVersion version, double rating) {
        records.put(key(type, version), record(type, version).withRating(rating));
    }

    private DecayingRatingMean record(RequestClassId type, ModelVersion version) {
        return records.getOrDefault(key(type, version), DecayingRatingMean.NONE);
    }

    private static String key(RequestClassId type, ModelVersion version) {
        return type + "/" + version.id();
    }
}
