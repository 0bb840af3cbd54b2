package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * The result of a send.
 *
 * <p>Immutable and thread safe.
 *
 * @param headersReceived whether response headers were received
 * @param timeToFirstByte time from the choice of the upstream to the first bytes of the answer's
 *     body
 * @param meanEventGap mean time between the events of a stream
 */
public record SendReport(
        Send send,
        SendOutcome outcome,
        boolean headersReceived,
        Optional<Duration> timeToFirstByte,
        Optional<Duration> meanEventGap) {
    /** A request that crashes its upstream does so before its answer has lasted this long. */
    private static final Duration HARMLESS_ANSWER_DURATION = Duration.ofMillis(300);

    /**
     * Whether the send shows that the request crashes no upstream: its answer is complete, or
     * lasted for a while before it was lost or the caller left.
     */
    boolean provesHarmless(long endNanos) {
        if (outcome.isCompleteAnswer()) {
            return true;
        }
        return (outcome == SendOutcome.BROKEN || outcome == SendOutcome.ABANDONED)
                && timeToFirstByte
                        .map(time -> endNanos - send.startNanos() - time.toNanos())
                        .filter(lasted -> lasted >= HARMLESS_ANSWER_DURATION.toNanos())
                        .isPresent();
    }
}
