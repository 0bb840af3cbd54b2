package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tells requests that crash the upstreams which run them.
 *
 * <p>Every request in flight at a crash becomes a suspect. A suspect runs only alone among
 * suspects, so that a further crash with exactly one suspect in flight names its cause: that
 * request is condemned. A suspect that finishes is cleared.
 *
 * <p>Invariants: at most {@code capacity} digests are kept; a condemned digest is never cleared by
 * an answer. Not thread safe; owned by the control thread.
 */
public final class SuspectRegister {
    /** Losses after which the position no longer counts. */
    private static final int ENOUGH_LOSSES = 2;

    private final int capacity;
    private final Duration lifetime;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

    /** Keeps at most {@code capacity} digests, each for {@code lifetime} after its last crash. */
    public SuspectRegister(int capacity, Duration lifetime) {
        this.capacity = capacity;
        this.lifetime = lifetime;
    }

    /** Notes a crash with these requests in flight; returns what is new. */
    public List<Suspicion> onCrash(Collection<LostRequest> inFlight, long nowNanos) {
        Map<String, LostRequest> byDigest = new LinkedHashMap<>();
        inFlight.forEach(lost -> byDigest.putIfAbsent(lost.digest(), lost));
        List<String> suspects =
                byDigest.keySet().stream().filter(d -> isSuspected(d, nowNanos)).toList();
        boolean alone = suspects.size() == 1;
        return byDigest.values().stream()
                .map(lost -> suspicion(lost, alone && suspects.contains(lost.digest()), nowNanos))
                .map(this::merge)
                .toList();
    }

    private Suspicion suspicion(LostRequest lost, boolean onlySuspect, long nowNanos) {
        Optional<Suspicion> known = find(lost.digest(), nowNanos);
        int losses = known.map(Suspicion::crashes).orElse(0) + 1;
        boolean samePosition =
                known.filter(before -> before.answerPosition() == lost.answerPosition())
                        .isPresent();
        boolean condemned = onlySuspect && (samePosition || losses > ENOUGH_LOSSES);
        return new Suspicion(lost.digest(), condemned, lost.answerPosition(), losses, nowNanos);
    }

    /** Takes over a suspicion, its own or a peer's; returns the result. */
    public Suspicion merge(Suspicion news) {
        Optional<Suspicion> known = Optional.ofNullable(suspicions.remove(news.digest()));
        boolean condemned = news.poison() || known.filter(Suspicion::poison).isPresent();
        int losses = Math.max(news.crashes(), known.map(Suspicion::crashes).orElse(0));
        Suspicion merged =
                new Suspicion(
                        news.digest(),
                        condemned,
                        news.answerPosition(),
                        losses,
                        news.lastCrashNanos());
        suspicions.put(news.digest(), merged);
        if (suspicions.size() > capacity) {
            suspicions.remove(suspicions.keySet().iterator().next());
        }
        return merged;
    }

    /** Notes that a request finished without a crash. */
    public void onRequestFinished(String digest) {
        Suspicion known = suspicions.get(digest);
        if (known != null && !known.poison()) {
            suspicions.remove(digest);
        }
    }

    /** Forgets a digest at an operator's word. */
    public boolean clear(String digest) {
        return suspicions.remove(digest) != null;
    }

    /** Tells whether a digest is suspected or condemned. */
    public boolean isSuspected(String digest, long nowNanos) {
        return find(digest, nowNanos).isPresent();
    }

    /** Tells whether a digest is condemned. */
    public boolean isPoison(String digest, long nowNanos) {
        return find(digest, nowNanos).filter(Suspicion::poison).isPresent();
    }

    /** All current suspicions, newest last. */
    public List<Suspicion> currentSuspicions(long nowNanos) {
        suspicions.values().removeIf(s -> expired(s, nowNanos));
        return List.copyOf(suspicions.values());
    }

    /** Finds the current suspicion of a digest. */
    public Optional<Suspicion> find(String digest, long nowNanos) {
        return Optional.ofNullable(suspicions.get(digest)).filter(s -> !expired(s, nowNanos));
    }

    private boolean expired(Suspicion suspicion, long nowNanos) {
        return nowNanos - suspicion.lastCrashNanos() > lifetime.toNanos();
    }
}
