package org.wigeonferry.decisions;

import java.util.Comparator;
import java.util.Optional;
import java.util.Random;
import org.wigeonferry.core_types.Upstream;

/**
 * Ways to choose an upstream.
 *
 * <p>Not thread safe, since the source of randomness isn't; used on the control thread.
 */
public final class UpstreamChoices {
    private UpstreamChoices() {}

    /** Looks at two candidates at random and takes the one that is expected to answer first. */
    public static UpstreamChoice powerOfTwoChoices(Random random) {
        return (candidates, loads) -> {
            if (candidates.size() < 2) {
                return candidates.stream().findFirst();
            }
            int first = random.nextInt(candidates.size());
            int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
            return Optional.of(better(candidates.get(first), candidates.get(second), loads));
        };
    }

    /** Takes any candidate. */
    public static UpstreamChoice uniformlyRandom(Random random) {
        return (candidates, loads) ->
                candidates.isEmpty()
                        ? Optional.empty()
                        : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Takes the candidate that is expected to answer first. */
    public static UpstreamChoice leastExpectedLatency() {
        return (candidates, loads) ->
                candidates.stream()
                        .min(Comparator.comparingDouble(loads::expectedFirstTokenMicros));
    }

    private static Upstream better(Upstream a, Upstream b, FirstTokenEstimator loads) {
        return loads.expectedFirstTokenMicros(a) <= loads.expectedFirstTokenMicros(b) ? a : b;
    }
}
