package org.wigeonferry.decisions;

import java.time.Duration;

/**
 * Limits the load on an upstream that may be in a cold start.
 *
 * <p>The limit is one after a loss of the engine. It rises by one after as many good first tokens
 * as the limit itself, or as set if that is more, and only while the load comes near the limit. It
 * halves on a slow first token. Without a good first token for the evidence lifetime it falls to a
 * quarter, since the engine may have returned to a cold start unseen. It never rises on a timer.
 *
 * <p>Invariant: {@code 1 <= limit <= max}. Not thread safe; owned by the control thread.
 */
public final class ColdStartRamp {
    private static final int IDLE_DIVISOR = 4;

    private final int answersPerRise;
    private final Duration slowFirstToken;
    private final Duration evidenceLifetime;
    private int max;
    private int limit = 1;
    private int goodAnswers;
    private long lastEvidenceNanos;

    /**
     * Starts cold.
     *
     * @param max most attempts in flight when warm
     * @param answersPerRise fewest good first tokens for a rise by one; an engine that warms up
     *     more slowly than this is offered more than it bears
     * @param slowFirstToken first tokens later than this are a sign of overload
     * @param evidenceLifetime how long a good first token vouches for the limit
     */
    public ColdStartRamp(
            int max, int answersPerRise, Duration slowFirstToken, Duration evidenceLifetime) {
        this.max = max;
        this.answersPerRise = answersPerRise;
        this.slowFirstToken = slowFirstToken;
        this.evidenceLifetime = evidenceLifetime;
    }

    /** Changes the limit of a warm upstream. */
    public void setMaxLimit(int value) {
        max = value;
        limit = Math.min(limit, max);
    }

    /** Returns the most attempts that the upstream bears now. */
    public int currentLimit(long nowNanos) {
        boolean idle = nowNanos - lastEvidenceNanos > evidenceLifetime.toNanos();
        if (idle && limit > 1) {
            limit = Math.max(1, limit / IDLE_DIVISOR);
            goodAnswers = 0;
            lastEvidenceNanos = nowNanos;
        }
        return limit;
    }

    /**
     * Notes a first token.
     *
     * @param latency time from hand-over to the first token
     * @param inFlight attempts in flight when it came
     */
    public void onFirstToken(Duration latency, int inFlight, long nowNanos) {
        if (latency.compareTo(slowFirstToken) > 0) {
            limit = Math.max(1, limit / 2);
            goodAnswers = 0;
            return;
        }
        lastEvidenceNanos = nowNanos;
        boolean nearLimit = inFlight * 2 >= limit;
        if (!nearLimit) {
            return;
        }
        goodAnswers++;
        if (goodAnswers < Math.max(answersPerRise, limit)) {
            return;
        }
        goodAnswers = 0;
        limit = Math.min(max, limit + 1);
    }

    /** Notes that the engine was lost or is a new instance. */
    public void onColdStart(long nowNanos) {
        limit = 1;
        goodAnswers = 0;
        lastEvidenceNanos = nowNanos;
    }
}
