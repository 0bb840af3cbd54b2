package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What one send came to.
 *
 * <p>Immutable and thread safe.
 *
 * @param headSeen whether the head of an answer came
 * @param firstAnswer time from the send to the first event or the whole answer
 * @param meanGap mean pause between events
 */
public record SendReport(
        Send send,
        Outcome outcome,
        boolean headSeen,
        Optional<Duration> firstAnswer,
        Optional<Duration> meanGap) {}
