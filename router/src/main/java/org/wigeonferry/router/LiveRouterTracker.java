package org.wigeonferry.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.routing.LiveRouters;

/**
 * Knows the entries that live, by the notes that change.
 *
 * <p>Invariant: the count is never below the highest of the last while, so that shares of a common
 * limit are never too large just because somebody is out of sight. Owned by the control thread.
 */
final class LiveRouterTracker {
    /** Time in which entries that started together have published and read their first notes. */
    private static final Duration SETTLING = Duration.ofSeconds(6);

    private final String own;
    private final long lifeNanos;
    private final int leastUntilKnown;
    private final Map<String, Long> seen = new HashMap<>();
    private boolean known;
    private long knownSinceNanos;

    LiveRouterTracker(String own, Duration life, int leastUntilKnown) {
        this.own = own;
        lifeNanos = life.toNanos();
        this.leastUntilKnown = leastUntilKnown;
    }

    void recordReport(String entry, long now) {
        seen.put(entry, now);
    }

    /** Notes that all rows have been read. */
    void recordAllReportsRead(long now) {
        if (!known) {
            known = true;
            knownSinceNanos = now;
        }
    }

    /** Forgets entries that are silent while the store answers; returns the others. */
    LiveRouters expireAndReturnLive(long now, boolean storeAnswers) {
        if (storeAnswers) {
            seen.values().removeIf(at -> now - at > lifeNanos);
        }
        boolean settled = known && now - knownSinceNanos >= SETTLING.toNanos();
        return new LiveRouters(own, seen.keySet(), settled ? 1 : leastUntilKnown);
    }
}
