package org.wigeonferry.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Whether an answer of low confidence may be dropped, and the job sent to its largest model.
 *
 * <p>Handles the load in which a part of a service is slow, such as the cold engines of one zone:
 * the mean over the service says little about the engine at which the largest model would run.
 * Stateless and thread safe.
 */
final class EscalationRule {
    private EscalationRule() {}

    /**
     * Allows it while the service is fast on average, so that long prompts get the largest model
     * too, and where the largest model's answer is predicted to begin in time.
     *
     * @param timeToFirstByte the shortest predicted time to the first byte of a model's answer
     */
    static boolean allows(
            Job job,
            ServiceState service,
            Function<String, Optional<Duration>> timeToFirstByte,
            long nowNanos) {
        List<String> models = job.route().models();
        if (models.isEmpty() || job.lowConfidenceAnswerDropped()) {
            return false;
        }
        return service.isFastEnoughToEscalate(UpstreamSelector.rank(job), nowNanos)
                || timeToFirstByte
                        .apply(models.get(models.size() - 1))
                        .filter(start -> beginsInTime(job, start, nowNanos))
                        .isPresent();
    }

    /** The smaller model is asked before, which takes no longer than the largest one. */
    private static boolean beginsInTime(Job job, Duration startOfLargest, long nowNanos) {
        Duration expected = job.elapsed(nowNanos).plus(startOfLargest.multipliedBy(2));
        return expected.compareTo(job.route().latencyObjective()) <= 0;
    }
}
