package org.wigeonferry.routing;

/**
 * Judges a new release by its answers against those of the old one.
 *
 * <p>A wrong roll-back costs a missed duty; a wrong completion puts all traffic on a bad release,
 * so doubt speaks against the new one. Stateless and thread safe.
 */
final class RollOutCriteria {
    private static final int MIN_BAD = 4;
    private static final double BAD_SHARE = 0.15;
    private static final double BAD_FACTOR = 2.0;
    private static final int MIN_TIMED = 8;
    private static final double SLOW_FACTOR = 2.8;

    private RollOutCriteria() {}

    /** Whether the new release is to be taken back. */
    static boolean mustRollBack(RollOutEvidence evidence) {
        return failsMore(evidence.fresh(), evidence.old()) || slower(evidence);
    }

    /** Whether the evidence suffices to move all traffic. */
    static boolean mayComplete(RollOutEvidence evidence, int minAnswers) {
        ReleaseEvidence fresh = evidence.fresh();
        double most = Math.max(0.1, evidence.old().failureShare() * 1.5);
        return fresh.good() >= minAnswers
                && fresh.failureShare() <= most
                && !mustRollBack(evidence);
    }

    private static boolean failsMore(ReleaseEvidence fresh, ReleaseEvidence old) {
        return fresh.bad() >= MIN_BAD
                && fresh.failureShare() > BAD_SHARE
                && fresh.failureShare() > BAD_FACTOR * old.failureShare();
    }

    private static boolean slower(RollOutEvidence evidence) {
        ReleaseEvidence fresh = evidence.fresh();
        ReleaseEvidence old = evidence.old();
        if (fresh.timed() < MIN_TIMED || old.timed() < MIN_TIMED) {
            return false;
        }
        boolean first =
                fresh.meanFirstEventMillionths() > SLOW_FACTOR * old.meanFirstEventMillionths();
        boolean gap = fresh.meanGapMicros() > SLOW_FACTOR * old.meanGapMicros();
        return first && (gap || fresh.gaps() < MIN_TIMED);
    }
}
