package org.wigeonferry.routing;

/**
 * Numbers of successful and failed answers.
 *
 * <p>Immutable and thread safe.
 */
public record AnswerCounts(long good, long bad) {
    /** No answers. */
    public static final AnswerCounts NONE = new AnswerCounts(0, 0);

    /** The sum of both. */
    public AnswerCounts plus(AnswerCounts other) {
        return new AnswerCounts(good + other.good, bad + other.bad);
    }

    /** This less the other, with no count below zero. */
    AnswerCounts minus(AnswerCounts other) {
        return new AnswerCounts(Math.max(0, good - other.good), Math.max(0, bad - other.bad));
    }
}
