package org.wigeonferry.routing;

import java.util.EnumMap;
import java.util.Map;

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
 * @param firstAttempts the part of {@code good} and {@code bad} that are answers to the first send
 *     of a request, by kind of request
 */
public record ReleaseEvidence(
        long sends,
        long good,
        long bad,
        long timed,
        long firstMicros,
        long gapLogMillionths,
        long gaps,
        Map<RequestKind, AnswerCounts> firstAttempts) {
    /** No answers. */
    public static final ReleaseEvidence NONE = new ReleaseEvidence(0, 0, 0, 0, 0, 0, 0);

    public ReleaseEvidence {
        firstAttempts = Map.copyOf(firstAttempts);
    }

    /** Evidence whose answers all count as repeats. */
    public ReleaseEvidence(
            long sends,
            long good,
            long bad,
            long timed,
            long firstMicros,
            long gapLogMillionths,
            long gaps) {
        this(sends, good, bad, timed, firstMicros, gapLogMillionths, gaps, Map.of());
    }

    /** The sum of both, component by component. */
    public ReleaseEvidence plus(ReleaseEvidence other) {
        return new ReleaseEvidence(
                sends + other.sends,
                good + other.good,
                bad + other.bad,
                timed + other.timed,
                firstMicros + other.firstMicros,
                gapLogMillionths + other.gapLogMillionths,
                gaps + other.gaps,
                sum(firstAttempts, other.firstAttempts));
    }

    /** This evidence, with its answers counted as those to first sends of a kind of request. */
    ReleaseEvidence ofFirstAttempt(RequestKind kind) {
        return new ReleaseEvidence(
                sends,
                good,
                bad,
                timed,
                firstMicros,
                gapLogMillionths,
                gaps,
                Map.of(kind, new AnswerCounts(good, bad)));
    }

    /** Answers to the first sends of requests of a kind. */
    AnswerCounts firstAttempts(RequestKind kind) {
        return firstAttempts.getOrDefault(kind, AnswerCounts.NONE);
    }

    /** Answers that are not in {@code firstAttempts}. */
    AnswerCounts repeats() {
        AnswerCounts first =
                firstAttempts.values().stream().reduce(AnswerCounts.NONE, AnswerCounts::plus);
        return new AnswerCounts(good, bad).minus(first);
    }

    private static Map<RequestKind, AnswerCounts> sum(
            Map<RequestKind, AnswerCounts> counts, Map<RequestKind, AnswerCounts> more) {
        Map<RequestKind, AnswerCounts> sum = new EnumMap<>(RequestKind.class);
        sum.putAll(counts);
        more.forEach((kind, added) -> sum.merge(kind, added, AnswerCounts::plus));
        return sum;
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
