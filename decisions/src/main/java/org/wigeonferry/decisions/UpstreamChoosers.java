package org.wigeonferry.decisions;

import java.util.Comparator;
import java.util.Optional;
import java.util.Random;
import org.wigeonferry.core_types.Upstream;

/**
 * Implementations of {@link UpstreamChooser}.
 *
 * <p>Not thread safe: they share the given source of randomness. Used on the control thread.
 */
public final class UpstreamChoosers {
    private UpstreamChoosers() {}

    /** Takes two different candidates at random and chooses the one expected to answer first. */
    public static UpstreamChooser powerOfTwoChoices(Random random) {
        return (candidates, estimator) -> {
            if (candidates.size() < 2) {
                return candidates.stream().findFirst();
            }
            int first = random.nextInt(candidates.size());
            // The offset from first is between 1 and size - 1, so the two indices differ.
            int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
            return Optional.of(
                    earlierFirstToken(candidates.get(first), candidates.get(second), estimator));
        };
    }

    /** Chooses a candidate at random. */
    public static UpstreamChooser uniformlyRandom(Random random) {
        return (candidates, estimator) ->
                candidates.isEmpty()
                        ? Optional.empty()
                        : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }

    /** Chooses the candidate expected to answer first. */
    public static UpstreamChooser leastExpectedLatency() {
        return (candidates, estimator) ->
                candidates.stream()
                        .min(Comparator.comparingDouble(estimator::expectedFirstTokenMicros));
    }

    private static Upstream earlierFirstToken(
            Upstream one, Upstream other, FirstTokenEstimator estimator) {
        return estimator.expectedFirstTokenMicros(one) <= estimator.expectedFirstTokenMicros(other)
                ? one
                : other;
    }
}
