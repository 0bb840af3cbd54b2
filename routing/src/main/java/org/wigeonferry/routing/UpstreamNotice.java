package org.wigeonferry.routing;

import java.time.Duration;
import java.util.Optional;

/**
 * What is believed of an incarnation by its announcements.
 *
 * <p>Immutable and thread safe.
 *
 * @param leaving whether it has said that it leaves, which it can't take back
 * @param pauseEndNanos end of the last pause that it asked for
 * @param pauseLength length of that pause
 * @param rateLimit limit of its requests, if its last answer named one
 */
record UpstreamNotice(
        boolean leaving,
        Optional<Long> pauseEndNanos,
        Duration pauseLength,
        Optional<RequestRateLimit> rateLimit) {
    static final UpstreamNotice NONE =
            new UpstreamNotice(false, Optional.empty(), Duration.ZERO, Optional.empty());

    /** The belief after an announcement; a later end of a pause replaces an earlier one. */
    UpstreamNotice after(UpstreamAnnouncement announcement, long nowNanos) {
        boolean leavesNow = leaving || announcement.leaving();
        Optional<RequestRateLimit> limit = limitAfter(announcement, nowNanos);
        if (announcement.pause().isEmpty()) {
            return new UpstreamNotice(leavesNow, pauseEndNanos, pauseLength, limit);
        }
        Duration pause = announcement.pause().get();
        long end = nowNanos + pause.toNanos();
        if (pauseEndNanos.filter(known -> known - end >= 0).isPresent()) {
            return new UpstreamNotice(leavesNow, pauseEndNanos, pauseLength, limit);
        }
        return new UpstreamNotice(leavesNow, Optional.of(end), pause, limit);
    }

    private Optional<RequestRateLimit> limitAfter(
            UpstreamAnnouncement announcement, long nowNanos) {
        if (announcement.requestsPerSecond().isEmpty()) {
            return Optional.empty();
        }
        long sinceNanos = rateLimit.map(RequestRateLimit::sinceNanos).orElse(nowNanos);
        return Optional.of(
                new RequestRateLimit(announcement.requestsPerSecond().getAsDouble(), sinceNanos));
    }
}
