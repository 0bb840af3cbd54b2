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
 */
record UpstreamNotice(boolean leaving, Optional<Long> pauseEndNanos, Duration pauseLength) {
    static final UpstreamNotice NONE = new UpstreamNotice(false, Optional.empty(), Duration.ZERO);

    /** The belief after an announcement; a later end of a pause replaces an earlier one. */
    UpstreamNotice after(UpstreamAnnouncement announcement, long nowNanos) {
        boolean leavesNow = leaving || announcement.leaving();
        if (announcement.pause().isEmpty()) {
            return new UpstreamNotice(leavesNow, pauseEndNanos, pauseLength);
        }
        Duration pause = announcement.pause().get();
        long end = nowNanos + pause.toNanos();
        if (pauseEndNanos.filter(known -> known - end >= 0).isPresent()) {
            return new UpstreamNotice(leavesNow, pauseEndNanos, pauseLength);
        }
        return new UpstreamNotice(leavesNow, Optional.of(end), pause);
    }
}
