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
        Optional<Duration> meanEventGap) {}
