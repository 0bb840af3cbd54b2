package org.wigeonferry.decisions;

/**
 * Ways to decide on a roll-out.
 *
 * <p>Stateless and thread safe.
 */
public final class RollOutGates {
    /** Standard deviations by which a loss must be clear before it counts. */
    private static final double CLEAR = 2.5;

    /** Ratings spread by no more than this around their mean. */
    private static final double RATING_DEVIATION = 0.3;

    /** Fewest attempts on which a version is pulled back. */
    private static final int FEWEST = 8;

    private RollOutGates() {}

    /**
     * Pulls back as soon as a loss in rating or errors is clear, and advances on enough samples
     * without one.
     *
     * @param samples attempts and ratings for an advance
     * @param ratingLoss loss in mean rating that is borne
     * @param errorRise rise in the share of errors that is borne
     */
    public static RollOutGate evidenceBased(int samples, double ratingLoss, double errorRise) {
        return (candidate, baseline) -> {
            boolean worse =
                    clearlyFails(candidate, baseline, errorRise)
                            || clearlyRatesLower(candidate, baseline, ratingLoss);
            if (worse) {
                return RollOutDecision.PULL_BACK;
            }
            boolean enough = candidate.attempts() >= samples && candidate.ratingCount() >= samples;
            return enough ? RollOutDecision.ADVANCE : RollOutDecision.HOLD;
        };
    }

    /** Advances on enough samples, whatever they show. */
    public static RollOutGate sampleCountBased(int samples) {
        return (candidate, baseline) ->
                candidate.attempts() >= samples ? RollOutDecision.ADVANCE : RollOutDecision.HOLD;
    }

    private static boolean clearlyFails(
            VersionEvidence candidate, VersionEvidence baseline, double errorRise) {
        if (candidate.attempts() < FEWEST) {
            return false;
        }
        double borne = Math.min(1, baseline.errorRate() + errorRise);
        double deviation = Math.sqrt(borne * (1 - borne) / candidate.attempts());
        return candidate.errorRate() > borne + CLEAR * deviation;
    }

    private static boolean clearlyRatesLower(
            VersionEvidence candidate, VersionEvidence baseline, double ratingLoss) {
        if (candidate.ratingCount() < FEWEST || baseline.ratingCount() < FEWEST) {
            return false;
        }
        double deviation =
                RATING_DEVIATION
                        * Math.sqrt(1.0 / candidate.ratingCount() + 1.0 / baseline.ratingCount());
        double loss = baseline.meanRating() - candidate.meanRating();
        return loss > ratingLoss + CLEAR * deviation;
    }
}
