package org.wigeonferry.routing;

/**
 * Judges a new release by its answers against those of the old one.
 *
 * <p>A wrong roll-back costs a missed duty; a wrong completion puts all traffic on a bad release,
 * so doubt speaks against the new one. Stateless and thread safe.
 */
final class RollOutJudge {
    private static final int MIN_BAD = 4;
    private static final double BAD_SHARE = 0.15;
    private static final double BAD_FACTOR = 2.0;
    private static final int MIN_TIMED = 6;
    private static final double SLOW_FACTOR = 2.5;
    private static final double SLOW_FIRST_MICROS = 300_000;
    private static final double SLOW_GAP_MICROS = 40_000;

    private RollOutJudge() {}

    /** Whether the new release is to be taken back. */
    static boolean bad(RollOutEvidence evidence) {
        return failsMore(evidence.fresh(), evidence.old()) || slower(evidence);
    }

    /** Whether the evidence suffices to move all traffic. */
    static boolean good(RollOutEvidence evidence, int minAnswers) {
        ReleaseEvidence fresh = evidence.fresh();
        double most = Math.max(0.1, evidence.old().badShare() * 1.5);
        return fresh.good() >= minAnswers && fresh.badShare() <= most && !bad(evidence);
    }

    private static boolean failsMore(ReleaseEvidence fresh, ReleaseEvidence old) {
        return fresh.bad() >= MIN_BAD
                && fresh.badShare() > BAD_SHARE
                && fresh.badShare() > BAD_FACTOR * old.badShare();
    }

    private static boolean slower(RollOutEvidence evidence) {
        ReleaseEvidence fresh = evidence.fresh();
        ReleaseEvidence old = evidence.old();
        if (fresh.good() < MIN_TIMED || old.good() < MIN_TIMED) {
            return false;
        }
        boolean first =
                fresh.meanFirst() > SLOW_FACTOR * old.meanFirst()
                        && fresh.meanFirst() > SLOW_FIRST_MICROS;
        boolean gap =
                fresh.meanGap() > SLOW_FACTOR * old.meanGap() && fresh.meanGap() > SLOW_GAP_MICROS;
        return first || gap;
    }
}
