package org.wigeonferry.decisions;

/**
 * What an entry knows of the load of one upstream.
 *
 * <p>Load arrives on answers; between answers the entry counts its own attempts. Not thread safe;
 * owned by the control thread.
 */
final class LoadEstimate {
    private static final double EWMA_WEIGHT = 0.2;

    private double firstTokenMicros;
    private int reportedByOthers;
    private int limit = 1;
    private int ownInFlight;
    private long blockedUntilNanos;
    private boolean blocked;

    void onAttemptSent() {
        ownInFlight++;
    }

    void onAttemptEnded() {
        ownInFlight = Math.max(0, ownInFlight - 1);
    }

    void onLoadReport(int inFlight, int reportedLimit) {
        reportedByOthers = Math.max(0, inFlight - ownInFlight);
        limit = Math.max(1, reportedLimit);
    }

    void onFirstToken(long micros) {
        firstTokenMicros =
                firstTokenMicros == 0
                        ? micros
                        : firstTokenMicros + EWMA_WEIGHT * (micros - firstTokenMicros);
    }

    void blockUntil(long nanos) {
        blocked = true;
        blockedUntilNanos = nanos;
    }

    boolean isUnblocked(long nowNanos) {
        blocked = blocked && blockedUntilNanos - nowNanos > 0;
        return !blocked;
    }

    /** Expected time to the first token in microseconds; rises with the load on the limit. */
    double expectedFirstTokenMicros() {
        double load = (double) (ownInFlight + reportedByOthers) / limit;
        return Math.max(1, firstTokenMicros) * (1 + load);
    }
}
