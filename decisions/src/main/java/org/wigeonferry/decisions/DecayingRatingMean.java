package org.wigeonferry.decisions;

/**
 * Fading sum of the ratings of one version in one class.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight weight of the ratings seen
 * @param weightedSum weighted sum of the ratings
 */
record DecayingRatingMean(double weight, double weightedSum) {
    /** No rating yet. */
    static final DecayingRatingMean NONE = new DecayingRatingMean(0, 0);

    private static final double FADING = 0.995;
    private static final double PRIOR_WEIGHT = 10;

    DecayingRatingMean withRating(double rating) {
        return new DecayingRatingMean(weight * FADING + 1, weightedSum * FADING + rating);
    }

    double estimatedRating(double prior) {
        return (prior * PRIOR_WEIGHT + weightedSum) / (PRIOR_WEIGHT + weight);
    }
}
