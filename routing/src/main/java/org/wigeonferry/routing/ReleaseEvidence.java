package org.wigeonferry.routing;

/**
 * Counts of a release's answers.
 *
 * <p>Immutable and thread safe.
 *
 * @param sends requests sent
 * @param good answers that speak for it
 * @param bad answers that speak against it
 * @param timed answers whose time counts
 * @param firstMicros sum of the times to the first event over the usual ones, in millionths, over
 *     {@code timed}
 * @param gapMicros sum of mean gaps, over {@code gaps}
 * @param gaps answers with a mean gap
 */
public record ReleaseEvidence(
        long sends, long good, long bad, long timed, long firstMicros, long gapMicros, long gaps) {
    /** No answers. */
    public static final ReleaseEvidence NONE = new ReleaseEvidence(0, 0, 0, 0, 0, 0, 0);

    /** Adds counts. */
    public ReleaseEvidence plus(ReleaseEvidence other) {
        return new ReleaseEvidence(
                sends + other.sends,
                good + other.good,
                bad + other.bad,
                timed + other.timed,
                firstMicros + other.firstMicros,
                gapMicros + other.gapMicros,
                gaps + other.gaps);
    }

    /** Answers of either kind. */
    public long answers() {
        return good + bad;
    }

    /** Share of bad answers. */
    public double failureShare() {
        return answers() == 0 ? 0 : (double) bad / answers();
    }

    /** Mean time to the first event over the usual one, in millionths. */
    public double meanFirstEventMillionths() {
        return timed == 0 ? 0 : (double) firstMicros / timed;
    }

    /** Mean gap between events in microseconds. */
    public double meanGapMicros() {
        return gaps == 0 ? 0 : (double) gapMicros / gaps;
    }
}
