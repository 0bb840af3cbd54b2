package org.wigeonferry.decisions;

/**
 * Implementations of {@link RollOutGate}.
 *
 * <p>Stateless and thread safe.
 */
public final class RollOutGates {
    /** Standard errors by which a loss must exceed the tolerated one to be significant. */
    private static final double SIGNIFICANT_STANDARD_ERRORS = 2.5;

    /** Assumed upper bound of the standard deviation of ratings. */
    private static final double MAX_RATING_STANDARD_DEVIATION = 0.3;

    /** Minimum number of attempts, or of ratings, for a rollback. */
    private static final int MIN_ROLLBACK_SAMPLES = 8;

    private RollOutGates() {}

    /**
     * Rolls back as soon as the new version's rating is significantly lower or its error rate
     * significantly higher than tolerated; advances after enough samples if neither is the case.
     *
     * @param minSamples attempts, and ratings, that an advance requires
     * @param maxRatingLoss tolerated loss in mean rating
     * @param maxErrorRateRise tolerated rise of the error rate, as a share of attempts
     */
    public static RollOutGate evidenceBased(
            int minSamples, double maxRatingLoss, double maxErrorRateRise) {
        return (candidate, baseline) -> {
            boolean worse =
                    hasSignificantErrorRise(candidate, baseline, maxErrorRateRise)
                            || hasSignificantRatingLoss(candidate, baseline, maxRatingLoss);
            if (worse) {
                return RollOutDecision.PULL_BACK;
            }
            boolean enough =
                    candidate.attempts() >= minSamples && candidate.ratingCount() >= minSamples;
            return enough ? RollOutDecision.ADVANCE : RollOutDecision.HOLD;
        };
    }

    /** Advances after enough attempts, whatever their errors and ratings; never rolls back. */
    public static RollOutGate sampleCountBased(int minSamples) {
        return (candidate, baseline) ->
                candidate.attempts() >= minSamples ? RollOutDecision.ADVANCE : RollOutDecision.HOLD;
    }

    private static boolean hasSignificantErrorRise(
            VersionEvidence candidate, VersionEvidence baseline, double maxErrorRateRise) {
        if (candidate.attempts() < MIN_ROLLBACK_SAMPLES) {
            return false;
        }
        double toleratedErrorRate = Math.min(1, baseline.errorRate() + maxErrorRateRise);
        double standardError =
                Math.sqrt(toleratedErrorRate * (1 - toleratedErrorRate) / candidate.attempts());
        return candidate.errorRate()
                > toleratedErrorRate + SIGNIFICANT_STANDARD_ERRORS * standardError;
    }

    private static boolean hasSignificantRatingLoss(
            VersionEvidence candidate, VersionEvidence baseline, double maxRatingLoss) {
        if (candidate.ratingCount() < MIN_ROLLBACK_SAMPLES
                || baseline.ratingCount() < MIN_ROLLBACK_SAMPLES) {
            return false;
        }
        double standardError =
                MAX_RATING_STANDARD_DEVIATION
                        * Math.sqrt(1.0 / candidate.ratingCount() + 1.0 / baseline.ratingCount());
        double loss = baseline.meanRating() - candidate.meanRating();
        return loss > maxRatingLoss + SIGNIFICANT_STANDARD_ERRORS * standardError;
    }
}
