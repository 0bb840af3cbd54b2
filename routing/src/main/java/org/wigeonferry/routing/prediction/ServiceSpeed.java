package org.wigeonferry.routing.prediction;

import java.time.Duration;

/**
 * The typical speed of a service's upstreams, and whether they report a pace.
 *
 * <p>Stands for upstreams whose responses this router has not seen. Owned by the control thread.
 */
public final class ServiceSpeed {
    private static final double INITIAL_REQUEST_NANOS = 80e6;
    private static final double INITIAL_TOKEN_NANOS = 60e3;
    private static final double MIN_GAIN = 0.05;

    /** How long after the last report with a pace the service counts as reporting one. */
    private static final Duration PACE_TTL = Duration.ofSeconds(30);

    private final LearnedSpeed typical =
            new LearnedSpeed(INITIAL_REQUEST_NANOS, INITIAL_TOKEN_NANOS, MIN_GAIN);
    private boolean paceReported;
    private long lastPaceNanos;

    /** Whether an upstream of the service has reported a pace lately. */
    public boolean reportsPace(long nowNanos) {
        return paceReported && nowNanos - lastPaceNanos <= PACE_TTL.toNanos();
    }

    /** Whether a response of the service has been seen. */
    public boolean isKnown() {
        return typical.responses() > 0;
    }

    LearnedSpeed typical() {
        return typical;
    }

    void onPace(long nowNanos) {
        paceReported = true;
        lastPaceNanos = nowNanos;
    }
}
