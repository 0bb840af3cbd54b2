package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What one send came to.
 *
 * <p>Immutable and thread safe.
 *
 * @param firstAnswer time from the send to the first event or the whole answer
 * @param meanGap mean pause between events
 * @param load the upstream's own count of its work, from its answer
 */
public record SendReport(
        Send send,
        Outcome outcome,
        Optional<Duration> firstAnswer,
        Optional<Duration> meanGap,
        Optional<UpstreamLoad> load) {}
