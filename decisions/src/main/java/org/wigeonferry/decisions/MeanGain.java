package org.wigeonferry.decisions;

/**
 * Fading mean of gains.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight weight of the gains seen
 * @param sum weighted sum of the gains
 */
record MeanGain(double weight, double sum) {
    /** No gain yet. */
    static final MeanGain NONE = new MeanGain(0, 0);

    MeanGain with(double gain, double fading) {
        return new MeanGain(weight * fading + 1, sum * fading + gain);
    }

    double expected(double prior, double priorWeight) {
        return (prior * priorWeight + sum) / (priorWeight + weight);
    }
}
