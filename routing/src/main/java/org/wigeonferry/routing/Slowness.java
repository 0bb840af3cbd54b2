package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Moving average of a service's times to response headers, as ratios to their expected values.
 *
 * <p>Without answers the average returns to normal, so that a service that got no optional retries
 * while it was slow gets them again. Owned by the control thread.
 */
final class Slowness {
    /** Expected time to response headers if no prompt tokens have to be processed. */
    private static final double EXPECTED_MICROS_WITHOUT_TOKENS = 80_000;

    /** Expected additional time for each prompt token that is not cached. */
    private static final double MICROS_PER_UNCACHED_TOKEN = 60;

    /** Upper limit of a single ratio, so that one answer can't dominate a mean. */
    private static final double MAX_RATIO = 12;

    private static final double NORMAL_RATIO = 1;
    private static final double NEW_ANSWER_WEIGHT = 0.08;
    private static final Duration HALF_LIFE_WITHOUT_ANSWERS = Duration.ofSeconds(2);

    private double meanRatio = NORMAL_RATIO;
    private long lastAnswerNanos;

    /**
     * Ratio of the time to response headers, or to the first byte of the body, to the time expected
     * for the send's uncached tokens.
     */
    static double ratioToExpectedTime(Duration elapsed, Send send) {
        double expectedMicros =
                EXPECTED_MICROS_WITHOUT_TOKENS
                        + MICROS_PER_UNCACHED_TOKEN * send.weightedUncachedTokens();
        return Math.min(MAX_RATIO, elapsed.toNanos() / 1000.0 / expectedMicros);
    }

    /** Expected time to process the prompt of a send if no other prompt is processed. */
    static Duration timeToProcess(Send send) {
        return Duration.ofNanos(
                Math.round(1000 * MICROS_PER_UNCACHED_TOKEN * send.weightedUncachedTokens()));
    }

    void recordTimeToHeaders(Duration elapsed, Send send, long nowNanos) {
        meanRatio =
                meanRatio(nowNanos)
                        + NEW_ANSWER_WEIGHT
                                * (ratioToExpectedTime(elapsed, send) - meanRatio(nowNanos));
        lastAnswerNanos = nowNanos;
    }

    /**
     * The mean ratio; 1 is normal. Decays toward 1, from 1 s after the last answer, with a
     * half-life of 2 s.
     */
    double meanRatio(long nowNanos) {
        double halfLives =
                (double) (nowNanos - lastAnswerNanos) / HALF_LIFE_WITHOUT_ANSWERS.toNanos();
        return NORMAL_RATIO
                + (meanRatio - NORMAL_RATIO) * Math.pow(0.5, Math.max(0, halfLives - 0.5));
    }
}
