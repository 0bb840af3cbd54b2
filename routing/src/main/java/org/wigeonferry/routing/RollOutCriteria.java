package org.wigeonferry.routing;

/**
 * Compares failures and latency of a new release with those of the old one.
 *
 * <p>A wrong roll-back only fails to carry out the operator's order, while a wrong completion puts
 * all traffic on a bad release, so unclear evidence counts against the new release. Streams are
 * compared by the time between their events only: the first one of a new upstream is late until it
 * has prompts cached. Few answers show little either way, so a release with few is not completed.
 * Stateless and thread safe.
 */
final class RollOutCriteria {
    private static final int MIN_FAILED_ANSWERS_TO_ROLL_BACK = 4;

    /** Greatest odds, of failing more to not, with which a release is completed. */
    private static final double MAX_ODDS_TO_COMPLETE = 0.1;

    /** Least odds, of failing more to not, with which a release is rolled back early. */
    private static final double MIN_ODDS_TO_ROLL_BACK = 50;

    private static final int MIN_TIMED_ANSWERS_TO_COMPARE = 8;

    /** Greatest tolerated ratio of the new release's time to the first byte to the old one's. */
    private static final double MAX_LATENCY_RATIO = 2.8;

    private static final int MIN_STREAMS_TO_COMPARE = 8;

    /** Ratio of the new release's gaps between events to the old one's that rolls it back. */
    private static final double MAX_GAP_RATIO = 2.0;

    /**
     * Ratio of the gaps up to which a release may be completed. Lower, as a release that is several
     * times slower on a part of its streams shows little in the mean of few.
     */
    private static final double MAX_GAP_RATIO_TO_COMPLETE = 1.25;

    private RollOutCriteria() {}

    /** Whether the evidence shows that the new release fails more or is slower. */
    static boolean mustRollBack(RollOutEvidence evidence) {
        return failsMore(evidence) || isSlower(evidence);
    }

    /** Whether the evidence suffices to move all traffic to the new release. */
    static boolean mayComplete(RollOutEvidence evidence, int minGoodAnswers) {
        ReleaseEvidence newRelease = evidence.fresh();
        return newRelease.good() >= minGoodAnswers
                && FailureComparison.logLikelihoodRatio(evidence) <= Math.log(MAX_ODDS_TO_COMPLETE)
                && !lacksStreams(evidence)
                && !mayBeSlower(evidence)
                && !mustRollBack(evidence);
    }

    private static boolean failsMore(RollOutEvidence evidence) {
        return evidence.fresh().bad() >= MIN_FAILED_ANSWERS_TO_ROLL_BACK
                && FailureComparison.logLikelihoodRatio(evidence)
                        >= Math.log(MIN_ODDS_TO_ROLL_BACK);
    }

    private static boolean isSlower(RollOutEvidence evidence) {
        ReleaseEvidence newRelease = evidence.fresh();
        ReleaseEvidence oldRelease = evidence.old();
        if (hasComparableGaps(evidence)) {
            return newRelease.meanGapRatio() > MAX_GAP_RATIO * oldRelease.meanGapRatio();
        }
        return newRelease.timed() >= MIN_TIMED_ANSWERS_TO_COMPARE
                && oldRelease.timed() >= MIN_TIMED_ANSWERS_TO_COMPARE
                && newRelease.meanFirstByteRatioMillionths()
                        > MAX_LATENCY_RATIO * oldRelease.meanFirstByteRatioMillionths();
    }

    private static boolean mayBeSlower(RollOutEvidence evidence) {
        return hasComparableGaps(evidence)
                && evidence.fresh().meanGapRatio()
                        > MAX_GAP_RATIO_TO_COMPLETE * evidence.old().meanGapRatio();
    }

    private static boolean hasComparableGaps(RollOutEvidence evidence) {
        return evidence.fresh().gaps() >= MIN_STREAMS_TO_COMPARE
                && evidence.old().gaps() >= MIN_STREAMS_TO_COMPARE;
    }

    /** Whether the old release streams and too few streams of the new one are known. */
    private static boolean lacksStreams(RollOutEvidence evidence) {
        return evidence.old().gaps() >= MIN_STREAMS_TO_COMPARE && !hasComparableGaps(evidence);
    }
}
