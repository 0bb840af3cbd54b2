package org.wigeonferry.routing;

import java.util.HashSet;
import java.util.Set;

/**
 * The crashes of upstreams for which a suspect may be the cause.
 *
 * <p>Invariants: no crash is both counted and refuted, and a refuted one is never counted again; at
 * most {@link #MAX_CRASHES} of either. Immutable and thread safe.
 *
 * @param crashes keys of the crashes that count against the suspect
 * @param refuted keys of crashes before an answer that proved the suspect harmless
 * @param lastNanos time of the last crash
 */
record CrashEvidence(Set<Integer> crashes, Set<Integer> refuted, long lastNanos) {
    /** More crashes don't change a decision. */
    static final int MAX_CRASHES = 16;

    CrashEvidence {
        crashes = Set.copyOf(crashes);
        refuted = Set.copyOf(refuted);
    }

    static CrashEvidence none(long nowNanos) {
        return new CrashEvidence(Set.of(), Set.of(), nowNanos);
    }

    /** Adds crashes, the last of which was at the given time; unchanged if all are known. */
    CrashEvidence withCrashes(Set<Integer> keys, long atNanos) {
        Set<Integer> union = new HashSet<>(crashes);
        keys.stream().filter(key -> !refuted.contains(key)).forEach(union::add);
        if (union.size() == crashes.size() || crashes.size() >= MAX_CRASHES) {
            return this;
        }
        long latest = crashes.isEmpty() || atNanos - lastNanos > 0 ? atNanos : lastNanos;
        return new CrashEvidence(firstOf(union), refuted, latest);
    }

    /** Stops counting all crashes so far. */
    CrashEvidence refutedByAnswer() {
        Set<Integer> union = new HashSet<>(refuted);
        union.addAll(crashes);
        return new CrashEvidence(Set.of(), firstOf(union), lastNanos);
    }

    private static Set<Integer> firstOf(Set<Integer> keys) {
        return keys.size() <= MAX_CRASHES
                ? keys
                : Set.copyOf(keys.stream().sorted().limit(MAX_CRASHES).toList());
    }
}
