package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What upstreams have said of themselves with their answers: that they leave, or that they want no
 * requests for a while.
 *
 * <p>Answers the load after a pause, in which all routers would return to the upstream at the same
 * moment: each returns at a time of its own within a part of the pause. An incarnation that leaves
 * is never used again, whatever its row or a later answer says. Invariant: at most {@link
 * #MAX_INCARNATIONS}, the oldest are evicted first. Owned by the control thread.
 */
public final class UpstreamNotices {
    private static final int MAX_INCARNATIONS = 4096;

    /** Longest time over which the routers return after a pause. */
    private static final Duration MAX_RETURN_SPREAD = Duration.ofSeconds(2);

    private final Map<Incarnation, UpstreamNotice> notices = new LinkedHashMap<>();

    /** Records an announcement; true if it changes what is believed of whether to use it. */
    public boolean record(Incarnation upstream, UpstreamAnnouncement announcement, long nowNanos) {
        UpstreamNotice before = notices.getOrDefault(upstream, UpstreamNotice.NONE);
        UpstreamNotice after = before.after(announcement, nowNanos);
        if (after.equals(before)) {
            return false;
        }
        notices.remove(upstream);
        notices.put(upstream, after);
        if (notices.size() > MAX_INCARNATIONS) {
            notices.remove(notices.keySet().iterator().next());
        }
        return true;
    }

    /** Drops what earlier incarnations with the same id have said. */
    void onIncarnation(Incarnation upstream) {
        notices.keySet()
                .removeIf(known -> known.id().equals(upstream.id()) && !known.equals(upstream));
    }

    boolean isLeaving(Incarnation upstream) {
        return notices.getOrDefault(upstream, UpstreamNotice.NONE).leaving();
    }

    /** Time until a router may send to an upstream again; zero if it may now or is to leave. */
    Duration pauseLeft(Incarnation upstream, String router, long nowNanos) {
        UpstreamNotice notice = notices.getOrDefault(upstream, UpstreamNotice.NONE);
        if (notice.pauseEndNanos().isEmpty()) {
            return Duration.ZERO;
        }
        long spreadNanos = Math.min(MAX_RETURN_SPREAD.toNanos(), notice.pauseLength().toNanos());
        long ownDelayNanos = (long) (spreadNanos * Hashes.fraction(upstream.id() + '@' + router));
        long left = notice.pauseEndNanos().get() + ownDelayNanos - nowNanos;
        return Duration.ofNanos(Math.max(0, left));
    }

    /** A rule that allows upstreams that neither leave nor pause. */
    UpstreamRule rule(String router) {
        return (upstream, job, nowNanos) -> {
            if (notices.isEmpty()) {
                return true;
            }
            Incarnation incarnation = upstream.instance().incarnation();
            return !isLeaving(incarnation) && pauseLeft(incarnation, router, nowNanos).isZero();
        };
    }

    /** Time until the first of some upstreams that pause may be used; empty if none pauses. */
    Optional<Duration> soonestReturn(
            Iterable<Incarnation> upstreams, String router, long nowNanos) {
        Optional<Duration> soonest = Optional.empty();
        for (Incarnation upstream : upstreams) {
            Duration left = pauseLeft(upstream, router, nowNanos);
            boolean sooner = soonest.filter(time -> time.compareTo(left) <= 0).isEmpty();
            if (!left.isZero() && !isLeaving(upstream) && sooner) {
                soonest = Optional.of(left);
            }
        }
        return soonest;
    }
}
