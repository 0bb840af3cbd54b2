package org.wigeonferry.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the likely causes of crashes among the suspects that were under way.
 *
 * <p>A crash takes harmless requests with it, and some are sent again beside the poison one. So the
 * suspect that explains most crashes is condemned first, and the crashes that it explains no longer
 * count against the others. Stateless and thread safe.
 */
final class CrashAttribution {
    private CrashAttribution() {}

    /**
     * The suspects to condemn.
     *
     * @param crashesBySuspect keys of the crashes that count against each suspect
     * @param wasAnswered whether a suspect was ever answered, which decides between equal ones
     */
    static Map<String, Condemnation> attribute(
            Map<String, Set<Integer>> crashesBySuspect, Predicate<String> wasAnswered) {
        Map<String, Condemnation> condemned = new HashMap<>();
        Map<String, Set<Integer>> open = withEnoughCrashes(crashesBySuspect, Set.of());
        while (!open.isEmpty()) {
            Set<Integer> largest = largestOf(open);
            List<String> equals =
                    open.entrySet().stream()
                            .filter(entry -> entry.getValue().equals(largest))
                            .map(Map.Entry::getKey)
                            .toList();
            List<String> neverAnswered = equals.stream().filter(wasAnswered.negate()).toList();
            List<String> causes = neverAnswered.isEmpty() ? equals : neverAnswered;
            for (String suspect : causes) {
                int crashes = crashesBySuspect.get(suspect).size();
                condemned.put(suspect, new Condemnation(crashes, Set.copyOf(causes)));
            }
            open = withEnoughCrashes(open, largest);
        }
        return condemned;
    }

    /** The suspects that enough crashes count against once the explained ones are left out. */
    private static Map<String, Set<Integer>> withEnoughCrashes(
            Map<String, Set<Integer>> crashesBySuspect, Set<Integer> explained) {
        Map<String, Set<Integer>> open = new HashMap<>();
        crashesBySuspect.forEach(
                (suspect, crashes) -> {
                    Set<Integer> unexplained = new HashSet<>(crashes);
                    unexplained.removeAll(explained);
                    if (unexplained.size() >= Condemnation.MIN_CRASHES) {
                        open.put(suspect, unexplained);
                    }
                });
        return open;
    }

    private static Set<Integer> largestOf(Map<String, Set<Integer>> open) {
        return open.values().stream().reduce((a, b) -> a.size() >= b.size() ? a : b).orElseThrow();
    }
}
