package org.wigeonferry.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.wigeonferry.core_types.HostAddress;

/**
 * An upstream of {@link FleetReplay}: some lanes that work off one request after the other, on a
 * host that is slow at times.
 *
 * <p>Used by one thread.
 */
final class ReplayUpstream {
    private static final double SLOW_FACTOR = 2.5;

    private UpstreamInstance instance;
    private final double relativeTime;
    private final long[] laneFreeNanos;
    private final List<long[]> slowPeriods = new ArrayList<>();
    private final List<Long> endNanos = new ArrayList<>();

    ReplayUpstream(
            String id, String service, String zone, int lanes, int slots, double relativeTime) {
        this.relativeTime = relativeTime;
        laneFreeNanos = new long[lanes];
        instance = newInstance(id, service, zone, slots, 1, Duration.ZERO);
    }

    private static UpstreamInstance newInstance(
            String id, String service, String zone, int slots, long startMillis, Duration cold) {
        return new UpstreamInstance(
                new Incarnation(id, startMillis),
                new HostAddress("127.0.0.1", 1000),
                service,
                zone,
                "v1",
                slots,
                false,
                cold);
    }

    /** Replaces the process by a new one, which is cold for a while. */
    void restartCold(Duration cold) {
        instance =
                newInstance(
                        instance.id(),
                        instance.service(),
                        instance.zone(),
                        instance.slots(),
                        instance.incarnation().startMillis() + 1,
                        cold);
    }

    UpstreamInstance instance() {
        return instance;
    }

    /** Makes the host slow for periods of a mean length that take a share of the time. */
    void addSlowPeriods(
            Random random, Duration meanLength, double share, long fromNanos, long toNanos) {
        long nowNanos = fromNanos;
        double meanPause = meanLength.toNanos() * (1 - share) / share;
        while (nowNanos < toNanos) {
            long start = nowNanos + (long) (-Math.log(1 - random.nextDouble()) * meanPause);
            nowNanos = start + (long) (-Math.log(1 - random.nextDouble()) * meanLength.toNanos());
            slowPeriods.add(new long[] {start, nowNanos});
        }
    }

    boolean isSlow(long nowNanos) {
        return slowPeriods.stream().anyMatch(p -> p[0] <= nowNanos && nowNanos < p[1]);
    }

    /** Takes a request; returns when its first byte is ready. */
    long accept(long workNanos, long nowNanos) {
        int lane = 0;
        for (int i = 1; i < laneFreeNanos.length; i++) {
            lane = laneFreeNanos[i] < laneFreeNanos[lane] ? i : lane;
        }
        long startNanos = Math.max(nowNanos, laneFreeNanos[lane]);
        double pace = isSlow(startNanos) ? SLOW_FACTOR : 1;
        laneFreeNanos[lane] = startNanos + (long) (workNanos * relativeTime * pace);
        endNanos.add(laneFreeNanos[lane]);
        return laneFreeNanos[lane];
    }

    /** The report that goes with a response now. */
    ReportedLoad report(boolean withPace, long nowNanos) {
        endNanos.removeIf(end -> end <= nowNanos);
        int requests = endNanos.size();
        int running = Math.min(requests, instance.slots());
        return new ReportedLoad(
                running,
                requests - running,
                instance.slots(),
                withPace ? OptionalInt.of(isSlow(nowNanos) ? 250 : 100) : OptionalInt.empty());
    }
}
