package org.wigeonferry.decisions;

/**
 * Exponentially weighted mean of the ratings of one version in one request class.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight sum of the weights of the samples
 * @param weightedSum weighted sum of the samples
 */
record DecayingRatingMean(double weight, double weightedSum) {
    /** Mean without samples. */
    static final DecayingRatingMean NONE = new DecayingRatingMean(0, 0);

    /** Factor by which each new sample multiplies the weights of the earlier ones. */
    private static final double WEIGHT_FACTOR_PER_SAMPLE = 0.995;

    /** Number of samples that the prior counts as. */
    private static final double PRIOR_WEIGHT_SAMPLES = 10;

    /** Adds a sample of weight 1; earlier weights are multiplied by the weight factor. */
    DecayingRatingMean withRating(double rating) {
        return new DecayingRatingMean(
                weight * WEIGHT_FACTOR_PER_SAMPLE + 1,
                weightedSum * WEIGHT_FACTOR_PER_SAMPLE + rating);
    }

    /** Mean of the samples and of the prior. */
    double estimatedRating(double prior) {
        return (prior * PRIOR_WEIGHT_SAMPLES + weightedSum) / (PRIOR_WEIGHT_SAMPLES + weight);
    }
}
