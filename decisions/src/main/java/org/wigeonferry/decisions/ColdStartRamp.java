package org.wigeonferry.decisions;

import java.time.Duration;

/**
 * Limits the attempts in flight on an upstream that may be in a cold start.
 *
 * <p>The limit is one after a crash of the engine. It rises by one after {@code max(limit,
 * firstTokensPerIncrease)} good first tokens, those that were not slow; only those count that
 * arrive while the attempts in flight are at least half of the limit. The limit halves on a slow
 * first token. A good first token is evidence that the engine is warm: without one for the evidence
 * lifetime the limit falls to a quarter, since the engine may have restarted cold without this
 * process noticing. It never rises on a timer.
 *
 * <p>Invariant: {@code 1 <= limit <= maxLimit}. Not thread safe; owned by the control thread.
 */
public final class ColdStartRamp {
    private static final int LIMIT_DIVISOR_WITHOUT_EVIDENCE = 4;

    private final int firstTokensPerIncrease;
    private final Duration slowFirstTokenThreshold;
    private final Duration evidenceLifetime;
    private int maxLimit;
    private int limit = 1;
    private int goodFirstTokens;
    private long evidenceAgeStartNanos;

    /**
     * Starts with a limit of one.
     *
     * @param maxLimit maximum attempts in flight when the upstream is warm
     * @param firstTokensPerIncrease minimum number of good first tokens for an increase of the
     *     limit by one; too low a value raises the limit faster than the engine warms up, and so
     *     overloads it
     * @param slowFirstTokenThreshold a first token that takes longer is a sign of overload
     * @param evidenceLifetime time without a good first token after which the limit is cut
     */
    public ColdStartRamp(
            int maxLimit,
            int firstTokensPerIncrease,
            Duration slowFirstTokenThreshold,
            Duration evidenceLifetime) {
        this.maxLimit = maxLimit;
        this.firstTokensPerIncrease = firstTokensPerIncrease;
        this.slowFirstTokenThreshold = slowFirstTokenThreshold;
        this.evidenceLifetime = evidenceLifetime;
    }

    /** Sets the maximum of the limit, which applies when the upstream is warm. */
    public void setMaxLimit(int value) {
        maxLimit = value;
        limit = Math.min(limit, maxLimit);
    }

    /**
     * Returns the maximum number of attempts in flight at this time. Cuts the limit first if the
     * last good first token is older than the evidence lifetime.
     */
    public int currentLimit(long nowNanos) {
        boolean evidenceExpired = nowNanos - evidenceAgeStartNanos > evidenceLifetime.toNanos();
        if (evidenceExpired && limit > 1) {
            limit = Math.max(1, limit / LIMIT_DIVISOR_WITHOUT_EVIDENCE);
            goodFirstTokens = 0;
            evidenceAgeStartNanos = nowNanos;
        }
        return limit;
    }

    /**
     * Records a first token.
     *
     * @param latency time from sending the request to the engine until its first token
     * @param inFlight attempts in flight when the token arrived
     */
    public void onFirstToken(Duration latency, int inFlight, long nowNanos) {
        if (latency.compareTo(slowFirstTokenThreshold) > 0) {
            limit = Math.max(1, limit / 2);
            goodFirstTokens = 0;
            return;
        }
        evidenceAgeStartNanos = nowNanos;
        boolean nearLimit = inFlight * 2 >= limit;
        if (!nearLimit) {
            return;
        }
        goodFirstTokens++;
        if (goodFirstTokens < Math.max(firstTokensPerIncrease, limit)) {
            return;
        }
        goodFirstTokens = 0;
        limit = Math.min(maxLimit, limit + 1);
    }

    /** Records that the engine crashed or is a new instance; the limit returns to one. */
    public void onColdStart(long nowNanos) {
        limit = 1;
        goodFirstTokens = 0;
        evidenceAgeStartNanos = nowNanos;
    }
}
