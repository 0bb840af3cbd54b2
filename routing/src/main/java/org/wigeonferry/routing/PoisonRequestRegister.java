package org.wigeonferry.routing;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recognises poison requests: counts, here and at the other routers, how often a connection was
 * lost while an upstream ran requests with one digest, without a complete answer in between.
 *
 * <p>A refusal is temporary and lasts twice as long after each further loss, since a connection can
 * break for other reasons. Losses shortly after an answer to the same digest are not counted.
 * Invariant: at most {@link #MAX_REQUESTS} digests with losses and as many with answers here, the
 * oldest are evicted first. Owned by the control thread.
 */
public final class PoisonRequestRegister {
    /** Maximum number of request digests remembered. */
    static final int MAX_REQUESTS = 1024;

    /** Connection losses without an answer in between after which a request is refused. */
    static final int LOSSES_TO_REFUSE = 3;

    /** Maximum number of request digests reported to the other routers. */
    private static final int MAX_REPORTED_REQUESTS = 24;

    /**
     * Time after an answer in which connection losses are attributed to another cause, since a
     * poison request is never answered.
     */
    private static final Duration LOSSES_IGNORED_AFTER_ANSWER = Duration.ofSeconds(20);

    private static final Duration FIRST_REFUSAL_DURATION = Duration.ofSeconds(20);
    private static final int MAX_REFUSAL_DOUBLINGS = 3;

    private final Map<String, ConnectionLossCount> ownLosses = new LinkedHashMap<>();
    private final Map<String, Map<String, Integer>> lossesByRouter = new HashMap<>();
    private final Map<String, Long> lastAnswerNanos = new LinkedHashMap<>();

    /** Losses counted by other routers before the last answer here, by digest. */
    private final Map<String, Integer> discountedPeerLosses = new HashMap<>();

    /**
     * When another router's count last rose, by digest; all entries are dropped when there are more
     * than {@link #MAX_REQUESTS}.
     */
    private final Map<String, Long> lastPeerLossNanos = new HashMap<>();

    boolean isRefused(String requestDigest, long nowNanos) {
        int count = totalLosses(requestDigest);
        if (count < LOSSES_TO_REFUSE || isAnsweredRecently(requestDigest, nowNanos)) {
            return false;
        }
        long refusalNanos =
                FIRST_REFUSAL_DURATION.toNanos()
                        << Math.min(count - LOSSES_TO_REFUSE, MAX_REFUSAL_DOUBLINGS);
        return nowNanos - lastLossNanos(requestDigest, nowNanos) < refusalNanos;
    }

    /** Counts a connection loss; true if the request is refused from now on. */
    boolean onConnectionLoss(String requestDigest, Incarnation upstream, long nowNanos) {
        if (isAnsweredRecently(requestDigest, nowNanos)) {
            return false;
        }
        ConnectionLossCount before = ownLosses.remove(requestDigest);
        ownLosses.put(
                requestDigest,
                before == null
                        ? ConnectionLossCount.firstLoss(upstream, nowNanos)
                        : before.withLoss(upstream, nowNanos));
        if (ownLosses.size() > MAX_REQUESTS) {
            ownLosses.remove(ownLosses.keySet().iterator().next());
        }
        return totalLosses(requestDigest) >= LOSSES_TO_REFUSE;
    }

    /** Clears a request, including the losses that other routers have counted so far. */
    void onAnswer(String requestDigest, long nowNanos) {
        ownLosses.remove(requestDigest);
        recordAnswer(requestDigest, nowNanos);
        int lossesSoFar = peerLosses(requestDigest);
        if (lossesSoFar > 0) {
            discountedPeerLosses.put(requestDigest, lossesSoFar);
        }
    }

    /** Connection losses counted here, by request digest; only the most recent digests. */
    public Map<String, Integer> ownLossCounts() {
        Map<String, Integer> newest = new HashMap<>();
        int skip = Math.max(0, ownLosses.size() - MAX_REPORTED_REQUESTS);
        ownLosses.entrySet().stream()
                .skip(skip)
                .forEach(entry -> newest.put(entry.getKey(), entry.getValue().count()));
        return newest;
    }

    /** Replaces the connection losses reported by another router, by request digest. */
    public void applyPeerLossCounts(String router, Map<String, Integer> counts, long nowNanos) {
        Map<String, Integer> before = lossesByRouter.getOrDefault(router, Map.of());
        counts.forEach(
                (requestDigest, count) -> {
                    if (count > before.getOrDefault(requestDigest, 0)) {
                        lastPeerLossNanos.put(requestDigest, nowNanos);
                    }
                });
        lossesByRouter.put(router, Map.copyOf(counts));
        discountedPeerLosses.replaceAll(
                (requestDigest, count) -> Math.min(count, peerLosses(requestDigest)));
        discountedPeerLosses.values().removeIf(count -> count == 0);
        if (lastPeerLossNanos.size() > MAX_REQUESTS) {
            lastPeerLossNanos.clear();
        }
    }

    private void recordAnswer(String requestDigest, long nowNanos) {
        lastAnswerNanos.remove(requestDigest);
        lastAnswerNanos.put(requestDigest, nowNanos);
        if (lastAnswerNanos.size() > MAX_REQUESTS) {
            lastAnswerNanos.remove(lastAnswerNanos.keySet().iterator().next());
        }
    }

    private boolean isAnsweredRecently(String requestDigest, long nowNanos) {
        Long answerNanos = lastAnswerNanos.get(requestDigest);
        return answerNanos != null
                && nowNanos - answerNanos < LOSSES_IGNORED_AFTER_ANSWER.toNanos();
    }

    private int totalLosses(String requestDigest) {
        ConnectionLossCount own = ownLosses.get(requestDigest);
        int count = own == null ? 0 : own.count();
        return count
                + Math.max(
                        0,
                        peerLosses(requestDigest)
                                - discountedPeerLosses.getOrDefault(requestDigest, 0));
    }

    private int peerLosses(String requestDigest) {
        return lossesByRouter.values().stream()
                .mapToInt(counts -> counts.getOrDefault(requestDigest, 0))
                .sum();
    }

    /**
     * Time of the last loss here or at a peer; without any, {@code Long.MAX_VALUE} ns before now.
     */
    private long lastLossNanos(String requestDigest, long nowNanos) {
        long age = Long.MAX_VALUE;
        ConnectionLossCount own = ownLosses.get(requestDigest);
        if (own != null) {
            age = nowNanos - own.lastNanos();
        }
        Long peerNanos = lastPeerLossNanos.get(requestDigest);
        if (peerNanos != null) {
            age = Math.min(age, nowNanos - peerNanos);
        }
        return nowNanos - age;
    }
}
