package org.wigeonferry.decisions;

import java.util.Map;
import org.wigeonferry.core_types.ModelVersion;
import org.wigeonferry.core_types.RequestClassId;

/**
 * Learns how much better a version answers what another has answered with a given rating.
 *
 * <p>Old gains fade. Invariant: at most {@link #MAX_ENTRIES} entries are kept. Not thread safe;
 * owned by the control thread.
 */
public final class EscalationGainEstimator {
    /** Most entries. */
    public static final int MAX_ENTRIES = 8192;

    private static final int BUCKETS = 5;
    private static final double FADING = 0.99;
    private static final double PRIOR_WEIGHT = 3;

    private final Map<String, DecayingGainMean> gains = new LruMap<>(MAX_ENTRIES);

    /** Gain in rating that is expected of a further stage. */
    public double expectedGain(
            RequestClassId type, ModelVersion from, ModelVersion to, double rating) {
        double prior = Math.max(0, to.expectedQuality() - rating);
        return gains.getOrDefault(key(type, from, to, rating), DecayingGainMean.NONE)
                .estimatedGain(prior, PRIOR_WEIGHT);
    }

    /** Notes what a further stage gained. */
    public void onGain(
            RequestClassId type, ModelVersion from, ModelVersion to, double rating, double gain) {
        String key = key(type, from, to, rating);
        gains.put(
                key,
                gains.getOrDefault(key, DecayingGainMean.NONE).withGain(Math.max(0, gain), FADING));
    }

    private static String key(
            RequestClassId type, ModelVersion from, ModelVersion to, double rating) {
        int bucket = (int) Math.min(BUCKETS - 1, rating * BUCKETS);
        return type + "/" + from.id() + "/" + to.id() + "/" + bucket;
    }
}
