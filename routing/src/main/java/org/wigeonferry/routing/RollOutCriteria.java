package org.wigeonferry.routing;

/**
 * Compares failures and latency of a new release with those of the old one.
 *
 * <p>A wrong roll-back only fails to carry out the operator's order, while a wrong completion puts
 * all traffic on a bad release, so unclear evidence counts against the new release. Stateless and
 * thread safe.
 */
final class RollOutCriteria {
    private static final int MIN_FAILED_ANSWERS_TO_ROLL_BACK = 4;

    /** Failure share up to which a release is never rolled back for its failures. */
    private static final double ALWAYS_TOLERATED_FAILURE_SHARE = 0.15;

    /** Greatest tolerated ratio of the new release's failure share to the old one's. */
    private static final double MAX_FAILURE_SHARE_RATIO = 2.0;

    private static final int MIN_TIMED_ANSWERS_TO_COMPARE = 8;

    /** Greatest tolerated ratio of the new release's latency to the old one's. */
    private static final double MAX_LATENCY_RATIO = 2.8;

    private RollOutCriteria() {}

    /** Whether the evidence shows that the new release fails more or is slower. */
    static boolean mustRollBack(RollOutEvidence evidence) {
        return failsMore(evidence.fresh(), evidence.old()) || isSlower(evidence);
    }

    /** Whether the evidence suffices to move all traffic to the new release. */
    static boolean mayComplete(RollOutEvidence evidence, int minGoodAnswers) {
        ReleaseEvidence newRelease = evidence.fresh();
        // 10 %, or one and a half times the old release's share if that is more.
        double maxFailureShare = Math.max(0.1, evidence.old().failureShare() * 1.5);
        return newRelease.good() >= minGoodAnswers
                && newRelease.failureShare() <= maxFailureShare
                && !mustRollBack(evidence);
    }

    private static boolean failsMore(ReleaseEvidence newRelease, ReleaseEvidence oldRelease) {
        return newRelease.bad() >= MIN_FAILED_ANSWERS_TO_ROLL_BACK
                && newRelease.failureShare() > ALWAYS_TOLERATED_FAILURE_SHARE
                && newRelease.failureShare() > MAX_FAILURE_SHARE_RATIO * oldRelease.failureShare();
    }

    private static boolean isSlower(RollOutEvidence evidence) {
        ReleaseEvidence newRelease = evidence.fresh();
        ReleaseEvidence oldRelease = evidence.old();
        if (newRelease.timed() < MIN_TIMED_ANSWERS_TO_COMPARE
                || oldRelease.timed() < MIN_TIMED_ANSWERS_TO_COMPARE) {
            return false;
        }
        boolean firstByteSlower =
                newRelease.meanFirstByteRatioMillionths()
                        > MAX_LATENCY_RATIO * oldRelease.meanFirstByteRatioMillionths();
        boolean gapLonger =
                newRelease.meanGapMicros() > MAX_LATENCY_RATIO * oldRelease.meanGapMicros();
        return firstByteSlower && (gapLonger || newRelease.gaps() < MIN_TIMED_ANSWERS_TO_COMPARE);
    }
}
