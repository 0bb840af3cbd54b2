package org.wigeonferry.router;

import java.time.Duration;
import org.wigeonferry.routing.Route;

/**
 * Decides after which silence of an upstream a resend elsewhere is considered.
 *
 * <p>Stateless and thread safe.
 */
final class SilenceTimeout {
    /**
     * A response that is not a stream is given up, and the request resent elsewhere, if it makes no
     * progress for this share of the latency objective.
     */
    private static final double RESPONSE_TIMEOUT_SHARE = 0.9;

    /**
     * Share of the latency objective to wait for the first bytes of a stream before resending
     * elsewhere.
     */
    private static final double FIRST_EVENT_TIMEOUT_SHARE = 0.5;

    private SilenceTimeout() {}

    /** The time since the start of the send, or since its last progress if any bytes came. */
    static Duration of(Route route, boolean responseBegun) {
        if (!route.kind().isStreamed()) {
            return shareOf(route.latencyObjective(), RESPONSE_TIMEOUT_SHARE);
        }
        return responseBegun
                ? route.maxEventGap()
                : shareOf(route.latencyObjective(), FIRST_EVENT_TIMEOUT_SHARE);
    }

    private static Duration shareOf(Duration time, double share) {
        return Duration.ofNanos((long) (time.toNanos() * share));
    }
}
