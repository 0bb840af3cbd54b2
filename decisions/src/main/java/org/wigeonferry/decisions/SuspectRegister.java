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
    private final int capacity;
    private final Duration lifetime;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

    /** Keeps at most {@code capacity} digests, each for {@code lifetime} after its last crash. */
    public SuspectRegister(int capacity, Duration lifetime) {
        this.capacity = capacity;
        this.lifetime = lifetime;
    }

    /** Notes a crash with these requests in flight; returns what is new. */
    public List<Suspicion> onCrash(Collection<String> digestsInFlight, long nowNanos) {
        List<String> digests = digestsInFlight.stream().distinct().toList();
        List<String> suspects = digests.stream().filter(d -> suspected(d, nowNanos)).toList();
        boolean causeKnown = suspects.size() == 1;
        return digests.stream()
                .map(d -> new Suspicion(d, causeKnown && suspects.contains(d), nowNanos))
                .map(this::merge)
                .toList();
    }

    /** Takes over a suspicion, its own or a peer's; returns the result. */
    public Suspicion merge(Suspicion news) {
        Suspicion known = suspicions.remove(news.digest());
        boolean condemned = news.condemned() || (known != null && known.condemned());
        Suspicion merged = new Suspicion(news.digest(), condemned, news.atNanos());
        suspicions.put(news.digest(), merged);
        if (suspicions.size() > capacity) {
            suspicions.remove(suspicions.keySet().iterator().next());
        }
        return merged;
    }

    /** Notes that a request finished without a crash. */
    public void onFinished(String digest) {
        Suspicion known = suspicions.get(digest);
        if (known != null && !known.condemned()) {
            suspicions.remove(digest);
        }
    }

    /** Forgets a digest at an operator's word. */
    public boolean clear(String digest) {
        return suspicions.remove(digest) != null;
    }

    /** Tells whether a digest is suspected or condemned. */
    public boolean suspected(String digest, long nowNanos) {
        return current(digest, nowNanos).isPresent();
    }

    /** Tells whether a digest is condemned. */
    public boolean condemned(String digest, long nowNanos) {
        return current(digest, nowNanos).filter(Suspicion::condemned).isPresent();
    }

    /** All current suspicions, newest last. */
    public List<Suspicion> all(long nowNanos) {
        suspicions.values().removeIf(s -> expired(s, nowNanos));
        return List.copyOf(suspicions.values());
    }

    private Optional<Suspicion> current(String digest, long nowNanos) {
        return Optional.ofNullable(suspicions.get(digest)).filter(s -> !expired(s, nowNanos));
    }

    private boolean expired(Suspicion suspicion, long nowNanos) {
        return nowNanos - suspicion.atNanos() > lifetime.toNanos();
    }
}
