package org.wigeonferry.decisions;

/**
 * Fading sums of the ratings of one version in one class.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight weight of the ratings seen
 * @param ratings weighted sum of the ratings
 * @param accepted weighted number of accepted answers
 */
record QualityRecord(double weight, double ratings, double accepted) {
    /** No rating yet. */
    static final QualityRecord EMPTY = new QualityRecord(0, 0, 0);

    private static final double FADING = 0.995;
    private static final double PRIOR_WEIGHT = 10;

    /** Spread of ratings around the expected one, before any was seen. */
    private static final double PRIOR_SPREAD = 0.25;

    QualityRecord with(double rating, boolean wasAccepted) {
        return new QualityRecord(
                weight * FADING + 1,
                ratings * FADING + rating,
                accepted * FADING + (wasAccepted ? 1 : 0));
    }

    double expectedRating(double prior) {
        return (prior * PRIOR_WEIGHT + ratings) / (PRIOR_WEIGHT + weight);
    }

    double expectedAcceptance(double prior, double threshold) {
        double above = 0.5 + (prior - threshold) / (2 * PRIOR_SPREAD);
        double priorAcceptance = Math.max(0.02, Math.min(0.98, above));
        return (priorAcceptance * PRIOR_WEIGHT + accepted) / (PRIOR_WEIGHT + weight);
    }
}
