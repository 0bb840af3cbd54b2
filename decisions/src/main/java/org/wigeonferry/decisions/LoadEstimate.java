package org.wigeonferry.decisions;

/**
 * An entry's estimate of the load of one upstream.
 *
 * <p>Each answer reports the upstream's load; between answers the entry updates the estimate by its
 * own attempts in flight. Not thread safe; owned by the control thread.
 */
final class LoadEstimate {
    /** Weight of the newest sample in the moving average of the time to the first token. */
    private static final double FIRST_TOKEN_EWMA_WEIGHT = 0.2;

    private double firstTokenMicros;
    private int inFlightOfOtherEntries;
    private int concurrencyLimit = 1;
    private int ownInFlight;
    private long blockedUntilNanos;
    private boolean blocked;

    void onAttemptSent() {
        ownInFlight++;
    }

    void onAttemptEnded() {
        ownInFlight = Math.max(0, ownInFlight - 1);
    }

    void onLoadReport(int reportedInFlight, int reportedLimit) {
        inFlightOfOtherEntries = Math.max(0, reportedInFlight - ownInFlight);
        concurrencyLimit = Math.max(1, reportedLimit);
    }

    void onFirstToken(long latencyMicros) {
        firstTokenMicros =
                firstTokenMicros == 0
                        ? latencyMicros
                        : firstTokenMicros
                                + FIRST_TOKEN_EWMA_WEIGHT * (latencyMicros - firstTokenMicros);
    }

    void blockUntil(long untilNanos) {
        blocked = true;
        blockedUntilNanos = untilNanos;
    }

    /** Tells whether no block is in force; clears an expired one. */
    boolean isUnblocked(long nowNanos) {
        blocked = blocked && blockedUntilNanos - nowNanos > 0;
        return !blocked;
    }

    /**
     * Expected time to the first token in microseconds: the average time, raised by the ratio of
     * attempts in flight to the concurrency limit. Without a sample the average counts as 1
     * microsecond, so that upstreams not measured yet are preferred.
     */
    double expectedFirstTokenMicros() {
        double load = (double) (ownInFlight + inFlightOfOtherEntries) / concurrencyLimit;
        return Math.max(1, firstTokenMicros) * (1 + load);
    }
}
