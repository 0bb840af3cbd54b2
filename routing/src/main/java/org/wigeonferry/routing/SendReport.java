package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What one send came to.
 *
 * <p>Immutable and thread safe.
 *
 * @param headersReceived whether the head of an answer came
 * @param timeToFirstByte time from the send to the first event or the whole answer
 * @param meanEventGap mean pause between events
 */
public record SendReport(
        Send send,
        SendOutcome outcome,
        boolean headersReceived,
        Optional<Duration> timeToFirstByte,
        Optional<Duration> meanEventGap) {}
