package org.wigeonferry.decisions;

/**
 * Fading mean of gains.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight weight of the gains seen
 * @param weightedSum weighted sum of the gains
 */
record DecayingGainMean(double weight, double weightedSum) {
    /** No gain yet. */
    static final DecayingGainMean NONE = new DecayingGainMean(0, 0);

    DecayingGainMean withGain(double gain, double fading) {
        return new DecayingGainMean(weight * fading + 1, weightedSum * fading + gain);
    }

    double estimatedGain(double prior, double priorWeight) {
        return (prior * priorWeight + weightedSum) / (priorWeight + weight);
    }
}
