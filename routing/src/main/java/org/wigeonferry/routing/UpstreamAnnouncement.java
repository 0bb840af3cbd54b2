package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What an upstream says of itself with an answer.
 *
 * <p>Immutable and thread safe.
 *
 * @param leaving whether it is about to stop and wants no new requests
 * @param pause how long it wants no requests; empty if it does not say so
 * @param requestsPerSecond requests per second that it takes from all routers together; empty if it
 *     names no limit
 */
public record UpstreamAnnouncement(
        boolean leaving, Optional<Duration> pause, OptionalDouble requestsPerSecond) {
    /** An answer that says nothing. */
    public static final UpstreamAnnouncement NONE =
            new UpstreamAnnouncement(false, Optional.empty(), OptionalDouble.empty());

    /** Longer pauses, such as those of a faulty upstream, count as this one. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(5);

    public UpstreamAnnouncement {
        pause = pause.map(time -> time.compareTo(MAX_PAUSE) > 0 ? MAX_PAUSE : time);
    }
}
