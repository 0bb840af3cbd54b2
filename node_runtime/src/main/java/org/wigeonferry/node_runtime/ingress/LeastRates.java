package org.wigeonferry.node_runtime.ingress;

import java.time.Duration;

/**
 * Decides whether a connection is so slow that it may be closed in favor of others.
 *
 * <p>Handles the load of callers that stop midway, or send or read a byte now and then. Consulted
 * only while a limit is reached or half used: at other times, slow callers are served.
 *
 * <p>Immutable and thread safe.
 *
 * @param sendBytesPerSecond least rate of sending a request
 * @param readBytesPerSecond least rate of reading a response
 */
record LeastRates(int sendBytesPerSecond, int readBytesPerSecond) {
    /**
     * Silence, or time since a phase began, from which a connection may count as slow; longer than
     * a retransmission on the way to a caller.
     */
    static final Duration GRACE = Duration.ofSeconds(1);

    private static final double NANOS_PER_SECOND = 1e9;

    boolean isTooSlow(ConnectionProgress progress) {
        if (progress.writeBlocked()) {
            return isBelow(
                    progress.blockedBytes(),
                    progress.blockedTime(),
                    progress.silence(),
                    readBytesPerSecond);
        }
        return switch (progress.phase()) {
            case IDLE -> progress.silence().compareTo(GRACE) >= 0;
            case HEAD, BODY ->
                    isBelow(
                            progress.phaseBytes(),
                            progress.phaseTime(),
                            progress.silence(),
                            sendBytesPerSecond);
            case HANDLING -> false;
        };
    }

    private static boolean isBelow(long bytes, Duration time, Duration silence, int rate) {
        return silence.compareTo(GRACE) >= 0
                || (time.compareTo(GRACE) >= 0
                        && bytes < rate * (time.toNanos() / NANOS_PER_SECOND));
    }
}
