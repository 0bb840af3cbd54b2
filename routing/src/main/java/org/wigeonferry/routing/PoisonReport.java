package org.wigeonferry.routing;

import java.util.Map;
import java.util.Set;

/**
 * What a router tells the others about poison requests.
 *
 * <p>Immutable and thread safe.
 *
 * @param crashes the crashes that count against each suspect, those of other routers included
 * @param answered suspects of any router that this one got an answer to lately
 */
public record PoisonReport(Map<String, CrashReport> crashes, Set<String> answered) {
    /** Nothing to tell. */
    public static final PoisonReport EMPTY = new PoisonReport(Map.of(), Set.of());

    public PoisonReport {
        crashes = Map.copyOf(crashes);
        answered = Set.copyOf(answered);
    }
}
