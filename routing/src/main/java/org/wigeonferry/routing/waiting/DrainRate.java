package org.wigeonferry.routing.waiting;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How fast the sends of this router to a service end, which is how fast its queue drains.
 *
 * <p>By Little's law, the mean time between two ends is the mean duration of a send divided by the
 * number of sends that run. Owned by the control thread.
 */
public final class DrainRate {
    private static final double NEW_DURATION_WEIGHT = 0.05;
    private static final double NEW_START_WEIGHT = 0.02;

    /**
     * Share of the sends that is assumed to remain for the least urgent requests, however many more
     * urgent ones come; bounds their predicted wait.
     */
    private static final double MIN_REMAINING_SHARE = 0.05;

    /** Part of the sends that requests of a priority make up. */
    private final Map<Integer, Double> shareByPriority = new HashMap<>();

    private Optional<Double> meanNanos = Optional.empty();
    private int running;

    /** Records that a send of a request with this {@link WaitingQueue#priority} has started. */
    public void onStart(int priority) {
        running++;
        shareByPriority.replaceAll((key, share) -> share * (1 - NEW_START_WEIGHT));
        shareByPriority.merge(priority, NEW_START_WEIGHT, Double::sum);
    }

    /**
     * Records that a send has ended.
     *
     * @param duration how long it ran; empty if it was not answered
     */
    public void onEnd(Optional<Duration> duration) {
        running--;
        duration.ifPresent(this::recordDuration);
    }

    /** Expected time until this many sends have ended; empty until one was answered. */
    public Optional<Duration> timeFor(double ends) {
        return meanNanos.map(mean -> Duration.ofNanos((long) (ends * mean / Math.max(1, running))));
    }

    /**
     * Expected time until this many sends have ended that are not taken by more urgent requests
     * which come in the meantime; empty until one was answered.
     */
    Optional<Duration> timeForPriority(double ends, int priority) {
        double moreUrgent =
                shareByPriority.entrySet().stream()
                        .filter(entry -> entry.getKey() < priority)
                        .mapToDouble(Map.Entry::getValue)
                        .sum();
        return timeFor(ends / Math.max(MIN_REMAINING_SHARE, 1 - moreUrgent));
    }

    private void recordDuration(Duration duration) {
        double nanos = duration.toNanos();
        meanNanos =
                Optional.of(
                        meanNanos
                                .map(mean -> mean + NEW_DURATION_WEIGHT * (nanos - mean))
                                .orElse(nanos));
    }
}
