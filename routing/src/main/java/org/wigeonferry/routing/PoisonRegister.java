package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how often requests of one content broke the upstream that ran them.
 *
 * <p>Invariant: at most {@link #MAX} contents, the oldest leave first. Owned by the control thread.
 */
final class PoisonRegister {
    /** Most contents that are remembered. */
    static final int MAX = 4096;

    /** Breaks after which a content is refused. */
    static final int BREAKS = 3;

    private static final Duration LIFE = Duration.ofMinutes(2);

    private final Map<String, SlidingCount> breaks = new LinkedHashMap<>();

    boolean refused(String content, long now) {
        SlidingCount count = breaks.get(content);
        return count != null && count.count(now) >= BREAKS;
    }

    /** Notes a break; true if it is the one from which on the content is refused. */
    boolean onBreak(String content, long now) {
        SlidingCount count = breaks.computeIfAbsent(content, key -> new SlidingCount(LIFE));
        count.add(now);
        if (breaks.size() > MAX) {
            breaks.remove(breaks.keySet().iterator().next());
        }
        return count.count(now) == BREAKS;
    }
}
