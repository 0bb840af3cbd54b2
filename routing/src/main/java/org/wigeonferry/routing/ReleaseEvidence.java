package org.wigeonferry.routing;

/**
 * Counts and latency sums of one release's answers.
 *
 * <p>Written to the log by {@code toString}, so the component names are part of its format.
 * Immutable and thread safe.
 *
 * @param sends requests sent
 * @param good successful answers
 * @param bad failed answers, including lost connections, time-outs and streams that are several
 *     times slower than usual, running ones too
 * @param timed answers included in {@code firstMicros}
 * @param firstMicros sum over {@code timed} of the ratio of the time to the first byte to its
 *     expected value (see {@link Slowness#ratioToExpectedTime}), in millionths
 * @param gapLogMillionths sum over {@code gaps} of the natural logarithm of the ratio of the time
 *     between events to the typical one of the model (see {@link TypicalGaps}), in millionths
 * @param gaps streams included in {@code gapLogMillionths}, running ones too
 */
public record ReleaseEvidence(
        long sends,
        long good,
        long bad,
        long timed,
        long firstMicros,
        long gapLogMillionths,
        long gaps) {
    /** No answers. */
    public static final ReleaseEvidence NONE = new ReleaseEvidence(0, 0, 0, 0, 0, 0, 0);

    /** The sum of both, component by component. */
    public ReleaseEvidence plus(ReleaseEvidence other) {
        return new ReleaseEvidence(
                sends + other.sends,
                good + other.good,
                bad + other.bad,
                timed + other.timed,
                firstMicros + other.firstMicros,
                gapLogMillionths + other.gapLogMillionths,
                gaps + other.gaps);
    }

    /** Number of successful and failed answers. */
    public long answers() {
        return good + bad;
    }

    /** Share of failed answers, from 0 to 1; 0 without answers. */
    public double failureShare() {
        return answers() == 0 ? 0 : (double) bad / answers();
    }

    /** Mean ratio of the time to the first byte to its expected value, in millionths. */
    public double meanFirstByteRatioMillionths() {
        return timed == 0 ? 0 : (double) firstMicros / timed;
    }

    /** Geometric mean of the ratios of the time between events to the typical one. */
    public double meanGapRatio() {
        return gaps == 0 ? 1 : Math.exp((double) gapLogMillionths / gaps / 1_000_000);
    }
}
