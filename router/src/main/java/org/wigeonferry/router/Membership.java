package org.wigeonferry.router;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the entries that live, by the notes that change.
 *
 * <p>Invariant: the count is never below the highest of the last while, so that shares of a common
 * limit are never too large just because somebody is out of sight. Owned by the control thread.
 */
final class Membership {
    private final long lifeNanos;
    private final int leastUntilKnown;
    private final Map<String, Long> seen = new HashMap<>();
    private boolean known;

    Membership(Duration life, int leastUntilKnown) {
        lifeNanos = life.toNanos();
        this.leastUntilKnown = leastUntilKnown;
    }

    void seen(String entry, long now) {
        seen.put(entry, now);
    }

    /** Notes that all rows have been read once. */
    void known() {
        known = true;
    }

    /**
     * Forgets entries that are silent while the store answers; returns the number of the others.
     */
    int count(long now, boolean storeAnswers) {
        if (storeAnswers) {
            seen.values().removeIf(at -> now - at > lifeNanos);
        }
        return known ? Math.max(1, seen.size()) : Math.max(leastUntilKnown, seen.size());
    }
}
