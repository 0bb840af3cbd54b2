package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What upstreams have said of themselves with their answers: that they leave, that they want no
 * requests for a while, or how many they take.
 *
 * <p>Handles the load after a pause, in which all routers would return to the upstream at the same
 * moment: each returns at a time of its own within a part of the pause. An incarnation that leaves
 * is never used again, whatever its row or a later answer says. A limit of requests holds until an
 * answer names none; a router without a share in it tries again now and then. Invariant: at most
 * {@link #MAX_INCARNATIONS}, the oldest are evicted first. Owned by the control thread.
 */
public final class UpstreamNotices {
    private static final int MAX_INCARNATIONS = 4096;

    /** Longest time over which the routers return after a pause. */
    private static final Duration MAX_RETURN_SPREAD = Duration.ofSeconds(2);

    /** Shortest time between sends of a router that has no share in an upstream's limit. */
    private static final Duration TRIAL_INTERVAL = Duration.ofSeconds(30);

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

    /** A rule that allows upstreams that neither leave nor pause, nor have reached their limit. */
    UpstreamRule rule(LiveRouters routers) {
        return (upstream, job, nowNanos) -> {
            if (notices.isEmpty()) {
                return true;
            }
            Incarnation incarnation = upstream.instance().incarnation();
            return !isLeaving(incarnation) && timeLeft(upstream, routers, nowNanos).isZero();
        };
    }

    /** Whether an upstream has named a limit of requests, or asked for a pause that goes on. */
    boolean isRestricted(UpstreamState upstream, LiveRouters routers, long nowNanos) {
        Incarnation incarnation = upstream.instance().incarnation();
        return notices.getOrDefault(incarnation, UpstreamNotice.NONE).rateLimit().isPresent()
                || !pauseLeft(incarnation, routers.ownName(), nowNanos).isZero();
    }

    /** Time until the first of some upstreams that want no requests now may be used, if any. */
    Optional<Duration> soonestReturn(
            Iterable<UpstreamState> upstreams, LiveRouters routers, long nowNanos) {
        Optional<Duration> soonest = Optional.empty();
        for (UpstreamState upstream : upstreams) {
            Duration left = timeLeft(upstream, routers, nowNanos);
            boolean sooner = soonest.filter(time -> time.compareTo(left) <= 0).isEmpty();
            if (!left.isZero() && !isLeaving(upstream.instance().incarnation()) && sooner) {
                soonest = Optional.of(left);
            }
        }
        return soonest;
    }

    /** Time until this router may send to an upstream that does not leave; zero if it may now. */
    private Duration timeLeft(UpstreamState upstream, LiveRouters routers, long nowNanos) {
        Incarnation incarnation = upstream.instance().incarnation();
        Duration pause = pauseLeft(incarnation, routers.ownName(), nowNanos);
        Duration full = timeUntilBelowLimit(upstream, routers, nowNanos);
        return pause.compareTo(full) > 0 ? pause : full;
    }

    private Duration timeUntilBelowLimit(
            UpstreamState upstream, LiveRouters routers, long nowNanos) {
        Optional<RequestRateLimit> limit =
                notices.getOrDefault(upstream.instance().incarnation(), UpstreamNotice.NONE)
                        .rateLimit();
        if (limit.isEmpty()) {
            return Duration.ZERO;
        }
        String id = upstream.instance().id();
        int share = limit.get().shareOf(routers, id);
        if (share == 0) {
            double spread = 1 + Hashes.fraction(id + '@' + routers.ownName());
            Duration interval = Duration.ofNanos((long) (TRIAL_INTERVAL.toNanos() * spread));
            return notNegative(interval.minus(upstream.timeWithoutSends(nowNanos)));
        }
        long startNanos = limit.get().windowStartNanos(nowNanos);
        if (upstream.sendsSince(startNanos, nowNanos) < share) {
            return Duration.ZERO;
        }
        long firstNanos = upstream.firstSendSince(startNanos, nowNanos).orElse(nowNanos);
        Duration age = Duration.ofNanos(nowNanos - firstNanos);
        return notNegative(RequestRateLimit.WINDOW.minus(age));
    }

    private static Duration notNegative(Duration time) {
        return time.isNegative() ? Duration.ZERO : time;
    }
}
