package org.wigeonferry.decisions;

/**
 * Exponentially weighted mean of gains in rating.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight sum of the weights of the samples
 * @param weightedSum weighted sum of the samples
 */
record DecayingGainMean(double weight, double weightedSum) {
    /** Mean without samples. */
    static final DecayingGainMean NONE = new DecayingGainMean(0, 0);

    /** Adds a sample of weight 1; earlier weights are multiplied by {@code weightFactor}. */
    DecayingGainMean withGain(double gain, double weightFactor) {
        return new DecayingGainMean(weight * weightFactor + 1, weightedSum * weightFactor + gain);
    }

    /** Mean of the samples and of a prior that counts as {@code priorWeight} samples. */
    double estimatedGain(double prior, double priorWeight) {
        return (prior * priorWeight + weightedSum) / (priorWeight + weight);
    }
}
