package org.wigeonferry.decisions;

/**
 * Fading sum of the ratings of one version in one class.
 *
 * <p>Immutable and thread safe.
 *
 * @param weight weight of the ratings seen
 * @param ratings weighted sum of the ratings
 */
record QualityRecord(double weight, double ratings) {
    /** No rating yet. */
    static final QualityRecord EMPTY = new QualityRecord(0, 0);

    private static final double FADING = 0.995;
    private static final double PRIOR_WEIGHT = 10;

    QualityRecord with(double rating) {
        return new QualityRecord(weight * FADING + 1, ratings * FADING + rating);
    }

    double expectedRating(double prior) {
        return (prior * PRIOR_WEIGHT + ratings) / (PRIOR_WEIGHT + weight);
    }
}
