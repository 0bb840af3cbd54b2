package org.wigeonferry.routing;

import java.time.Duration;

/**
 * Tells an upstream that is busy from one that is gone or has lost a request.
 *
 * <p>Handles the load in which engines have seconds of prompts in their queues: they are silent for
 * long and answer all the same, and a request that is sent again elsewhere adds its prompt to a
 * second queue. Stateless; called on the control thread.
 */
final class SilenceRule {
    /** A send counts as lost after this many times the wait that 95 of 100 sends don't exceed. */
    private static final double LOST_AFTER_WAITS = 1.5;

    /** The same for a send after which the upstream has answered later ones. */
    private static final double LOST_AFTER_WAITS_IF_UPSTREAM_ANSWERS = 3;

    /** Added to the gap that a route allows, for the time that an event takes to arrive. */
    private static final Duration GAP_MARGIN = Duration.ofMillis(100);

    /** A stream counts as stalled after this many times the gap that its route allows. */
    private static final int STALLED_AFTER_GAPS = 2;

    private SilenceRule() {}

    /**
     * Whether a send without response headers is probably lost, rather than queued.
     *
     * @param longWait wait that 95 of 100 sends do not exceed, beyond the work for their own prompt
     * @param waited time since the start of the send
     */
    static boolean isLost(UpstreamState state, Send send, Duration longWait, Duration waited) {
        Duration queued = waited.minus(Slowness.timeToProcess(send));
        if (state.noLaterSendIsResolved(send) || state.isOvertaken(send)) {
            return isLonger(queued, LOST_AFTER_WAITS, longWait);
        }
        return isLonger(queued, LOST_AFTER_WAITS_IF_UPSTREAM_ANSWERS, longWait);
    }

    /**
     * Whether a stream is stalled: at once after the gap that its route allows if other sends to
     * the upstream failed, or else later, since an engine that processes prompts pauses its streams
     * and a stream that is late is not served better by a second engine's work.
     *
     * @param silence time since the last event
     */
    static boolean isStalled(UpstreamState state, Route route, Duration silence, long nowNanos) {
        Duration allowedGap = route.maxEventGap();
        Duration limit =
                state.isSuspended(nowNanos)
                        ? allowedGap.plus(GAP_MARGIN)
                        : allowedGap.multipliedBy(STALLED_AFTER_GAPS);
        return silence.compareTo(limit) > 0;
    }

    private static boolean isLonger(Duration time, double factor, Duration unit) {
        return time.toNanos() > factor * unit.toNanos();
    }
}
