package org.wigeonferry.decisions;

import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Identifies poison requests, that is requests that crash the upstreams which run them.
 *
 * <p>Every request in flight at a crash becomes suspected. An upstream runs at most one suspected
 * request at a time, so at the next crash a single suspected request in flight is the likely cause.
 * It is marked as poison if its answer was at the same position as at its previous crash, or at its
 * third crash whatever the position. A suspected request that finishes is cleared.
 *
 * <p>Invariants: at most {@code maxDigests} digests are kept; an answer never clears a poison
 * digest. Not thread safe; owned by the control thread.
 */
public final class SuspectRegister {
    /** With more crashes than this the position of the answer is no longer compared. */
    private static final int MAX_CRASHES_COMPARING_POSITION = 2;

    private final int maxDigests;
    private final Duration suspicionLifetime;
    private final Map<String, Suspicion> suspicions = new LinkedHashMap<>();

    /**
     * Keeps at most {@code maxDigests} digests, each for {@code suspicionLifetime} after its last
     * crash.
     */
    public SuspectRegister(int maxDigests, Duration suspicionLifetime) {
        this.maxDigests = maxDigests;
        this.suspicionLifetime = suspicionLifetime;
    }

    /** Records a crash with these requests in flight; returns the updated suspicion of each. */
    public List<Suspicion> onCrash(Collection<LostRequest> inFlight, long nowNanos) {
        Map<String, LostRequest> byDigest = new LinkedHashMap<>();
        inFlight.forEach(lost -> byDigest.putIfAbsent(lost.digest(), lost));
        List<String> suspected =
                byDigest.keySet().stream().filter(d -> isSuspected(d, nowNanos)).toList();
        boolean exactlyOneSuspected = suspected.size() == 1;
        return byDigest.values().stream()
                .map(
                        lost ->
                                newSuspicion(
                                        lost,
                                        exactlyOneSuspected && suspected.contains(lost.digest()),
                                        nowNanos))
                .map(this::merge)
                .toList();
    }

    private Suspicion newSuspicion(LostRequest lost, boolean onlySuspected, long nowNanos) {
        Optional<Suspicion> known = find(lost.digest(), nowNanos);
        int crashes = known.map(Suspicion::crashes).orElse(0) + 1;
        boolean samePosition =
                known.filter(before -> before.answerBytes() == lost.answerBytes()).isPresent();
        boolean poison =
                onlySuspected && (samePosition || crashes > MAX_CRASHES_COMPARING_POSITION);
        return new Suspicion(lost.digest(), poison, lost.answerBytes(), crashes, nowNanos);
    }

    /**
     * Merges a suspicion, from this process or a peer, into the register; returns the merged one.
     *
     * <p>Poison marks stay and the higher number of crashes counts. Position and time are those of
     * {@code reported}, even if the known ones are later.
     */
    public Suspicion merge(Suspicion reported) {
        Optional<Suspicion> known = Optional.ofNullable(suspicions.remove(reported.digest()));
        boolean poison = reported.poison() || known.filter(Suspicion::poison).isPresent();
        int crashes = Math.max(reported.crashes(), known.map(Suspicion::crashes).orElse(0));
        Suspicion merged =
                new Suspicion(
                        reported.digest(),
                        poison,
                        reported.answerBytes(),
                        crashes,
                        reported.lastCrashNanos());
        suspicions.put(reported.digest(), merged);
        if (suspicions.size() > maxDigests) {
            suspicions.remove(suspicions.keySet().iterator().next());
        }
        return merged;
    }

    /** Records that a request finished without a crash; clears it unless it is poison. */
    public void onRequestFinished(String digest) {
        Suspicion known = suspicions.get(digest);
        if (known != null && !known.poison()) {
            suspicions.remove(digest);
        }
    }

    /**
     * Removes a digest, even of a poison request, for an operator; returns whether it was there.
     */
    public boolean clear(String digest) {
        return suspicions.remove(digest) != null;
    }

    /** Tells whether a digest is suspected; a poison digest is suspected too. */
    public boolean isSuspected(String digest, long nowNanos) {
        return find(digest, nowNanos).isPresent();
    }

    /** Tells whether a digest is known to belong to a poison request. */
    public boolean isPoison(String digest, long nowNanos) {
        return find(digest, nowNanos).filter(Suspicion::poison).isPresent();
    }

    /** Removes the expired suspicions and returns the others, the last merged one last. */
    public List<Suspicion> currentSuspicions(long nowNanos) {
        suspicions.values().removeIf(s -> isExpired(s, nowNanos));
        return List.copyOf(suspicions.values());
    }

    /** Finds the suspicion of a digest; empty if there is none or it has expired. */
    public Optional<Suspicion> find(String digest, long nowNanos) {
        return Optional.ofNullable(suspicions.get(digest)).filter(s -> !isExpired(s, nowNanos));
    }

    private boolean isExpired(Suspicion suspicion, long nowNanos) {
        return nowNanos - suspicion.lastCrashNanos() > suspicionLifetime.toNanos();
    }
}
