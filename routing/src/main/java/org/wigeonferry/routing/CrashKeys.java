package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tells crashes of upstreams apart by a key that is the same at all routers that see a crash.
 *
 * <p>Losses at one incarnation within {@link #SAME_CRASH_WINDOW} of each other have one cause. A
 * later loss there is another crash, as a restarted upstream may not have registered yet.
 * Invariant: at most {@link #MAX_INCARNATIONS} are remembered, the oldest are evicted first. Owned
 * by the control thread.
 */
final class CrashKeys {
    private static final Duration SAME_CRASH_WINDOW = Duration.ofSeconds(1);
    private static final int MAX_INCARNATIONS = 1024;

    private final Map<Incarnation, LossMark> lastLosses = new LinkedHashMap<>();

    /** The key of the crash to which a connection loss now belongs. */
    int keyOfLoss(Incarnation upstream, long nowNanos) {
        LossMark before = lastLosses.remove(upstream);
        int number = numberOf(before, nowNanos);
        lastLosses.put(upstream, new LossMark(number, nowNanos));
        if (lastLosses.size() > MAX_INCARNATIONS) {
            lastLosses.remove(lastLosses.keySet().iterator().next());
        }
        return Hashes.key(upstream.id() + '#' + upstream.startMillis() + '#' + number);
    }

    private static int numberOf(LossMark before, long nowNanos) {
        if (before == null) {
            return 0;
        }
        boolean sameCrash = nowNanos - before.lastNanos() < SAME_CRASH_WINDOW.toNanos();
        return sameCrash ? before.number() : before.number() + 1;
    }
}
