package org.wigeonferry.routing;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * When requests with a suspect were last answered.
 *
 * <p>Invariant: at most {@link #MAX_SUSPECTS}, the oldest are evicted first. Owned by the control
 * thread.
 */
final class AnswerLog {
    /** Time after an answer in which connection losses are attributed to another cause. */
    private static final Duration RECENT = Duration.ofSeconds(20);

    private static final int MAX_SUSPECTS = 8192;

    private final Map<String, Long> lastNanosBySuspect = new LinkedHashMap<>();

    void record(String suspect, long nowNanos) {
        lastNanosBySuspect.remove(suspect);
        lastNanosBySuspect.put(suspect, nowNanos);
        if (lastNanosBySuspect.size() > MAX_SUSPECTS) {
            lastNanosBySuspect.remove(lastNanosBySuspect.keySet().iterator().next());
        }
    }

    boolean isAnswered(String suspect) {
        return lastNanosBySuspect.containsKey(suspect);
    }

    boolean isAnsweredRecently(String suspect, long nowNanos) {
        Long answerNanos = lastNanosBySuspect.get(suspect);
        return answerNanos != null && nowNanos - answerNanos < RECENT.toNanos();
    }
}
