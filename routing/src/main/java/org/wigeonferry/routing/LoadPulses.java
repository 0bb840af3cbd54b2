package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Short times in which a release that is being rolled out gets all requests without a session.
 *
 * <p>Some releases fail under load only, and a small share of the requests, spread evenly, would
 * never load them as the whole traffic does after their completion. The times are the same at all
 * routers. Stateless and thread safe.
 */
final class LoadPulses {
    /** Time from the start of a pulse to that of the next one. */
    private static final Duration PERIOD = Duration.ofSeconds(4);

    /**
     * Share of the time that is in pulses, as a multiple of the exposure share; above 1, as
     * requests do not come evenly.
     */
    private static final double TIME_PER_EXPOSURE = 2;

    /**
     * Fraction of a roll-out's duration before the first pulse: some releases turn bad after a
     * while.
     */
    private static final double MIN_ELAPSED = 0.3;

    private LoadPulses() {}

    /** Whether a pulse is on. It may end earlier, when the exposure share has been used up. */
    static boolean isOn(RollOut order, double exposureShare, long nowNanos) {
        long sinceStart = nowNanos - order.startNanos();
        if (sinceStart < MIN_ELAPSED * order.duration().toNanos()) {
            return false;
        }
        double pulseNanos = TIME_PER_EXPOSURE * exposureShare * PERIOD.toNanos();
        return Math.floorMod(sinceStart, PERIOD.toNanos()) < pulseNanos;
    }
}
