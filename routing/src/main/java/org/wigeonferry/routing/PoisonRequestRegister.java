package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts how often requests of one content broke the upstream that ran them, without an answer
 * between, here and at the other entries.
 *
 * <p>A refused content may be tried once more after a while, and after twice that while once more,
 * since a connection can break for other reasons. A content that was answered a while ago is not
 * counted. Invariant: at most {@link #MAX_REQUESTS} contents, the oldest leave first. Owned by the
 * control thread.
 */
public final class PoisonRequestRegister {
    /** Most contents that are remembered. */
    static final int MAX_REQUESTS = 1024;

    /** Breaks in a row after which a content is refused. */
    static final int LOSSES_TO_REFUSE = 3;

    /** Most contents that the other entries are told of. */
    private static final int MAX_TOLD = 24;

    /** How long an answer shows that breaks had another cause: a poison is never answered. */
    private static final Duration CLEARED = Duration.ofSeconds(20);

    private static final Duration FIRST_REFUSAL = Duration.ofSeconds(20);
    private static final int MAX_DOUBLINGS = 3;

    private final Map<String, ConnectionLossCount> own = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> foreign = new HashMap<>();
    private final Map<String, Long> answered = new LinkedHashMap<>();
    private final Map<String, Integer> forgiven = new HashMap<>();
    private final Map<String, Long> told = new HashMap<>();

    boolean isRefused(String content, long now) {
        int count = total(content);
        if (count < LOSSES_TO_REFUSE || answered(content, now)) {
            return false;
        }
        long pause = FIRST_REFUSAL.toNanos() << Math.min(count - LOSSES_TO_REFUSE, MAX_DOUBLINGS);
        return now - lastNanos(content, now) < pause;
    }

    /** Notes a break; true if the content is refused from now on. */
    boolean onConnectionLoss(String content, Incarnation at, long now) {
        if (answered(content, now)) {
            return false;
        }
        ConnectionLossCount before = own.remove(content);
        own.put(
                content,
                before == null ? ConnectionLossCount.firstLoss(at, now) : before.withLoss(at, now));
        if (own.size() > MAX_REQUESTS) {
            own.remove(own.keySet().iterator().next());
        }
        return total(content) >= LOSSES_TO_REFUSE;
    }

    /** Notes an answer: the content is no poison, whatever other entries counted before it. */
    void onAnswer(String content, long now) {
        own.remove(content);
        noteAnswered(content, now);
        int counted = foreign(content);
        if (counted > 0) {
            forgiven.put(content, counted);
        }
    }

    /** The newest contents that broke upstreams here, with their counts. */
    public Map<String, Integer> ownLossCounts() {
        Map<String, Integer> newest = new HashMap<>();
        int skip = Math.max(0, own.size() - MAX_TOLD);
        own.entrySet().stream()
                .skip(skip)
                .forEach(entry -> newest.put(entry.getKey(), entry.getValue().count()));
        return newest;
    }

    /** Takes what another entry counts. */
    public void applyPeerLossCounts(String entry, Map<String, Integer> counts, long now) {
        Map<String, Integer> before = foreign.getOrDefault(entry, Map.of());
        counts.forEach(
                (content, count) -> {
                    if (count > before.getOrDefault(content, 0)) {
                        told.put(content, now);
                    }
                });
        foreign.put(entry, Map.copyOf(counts));
        forgiven.replaceAll((content, count) -> Math.min(count, foreign(content)));
        forgiven.values().removeIf(count -> count == 0);
        if (told.size() > MAX_REQUESTS) {
            told.clear();
        }
    }

    private void noteAnswered(String content, long now) {
        answered.remove(content);
        answered.put(content, now);
        if (answered.size() > MAX_REQUESTS) {
            answered.remove(answered.keySet().iterator().next());
        }
    }

    private boolean answered(String content, long now) {
        Long at = answered.get(content);
        return at != null && now - at < CLEARED.toNanos();
    }

    private int total(String content) {
        ConnectionLossCount here = own.get(content);
        int count = here == null ? 0 : here.count();
        return count + Math.max(0, foreign(content) - forgiven.getOrDefault(content, 0));
    }

    private int foreign(String content) {
        return foreign.values().stream().mapToInt(counts -> counts.getOrDefault(content, 0)).sum();
    }

    private long lastNanos(String content, long now) {
        long age = Long.MAX_VALUE;
        ConnectionLossCount here = own.get(content);
        if (here != null) {
            age = now - here.lastNanos();
        }
        Long there = told.get(content);
        if (there != null) {
            age = Math.min(age, now - there);
        }
        return now - age;
    }
}
