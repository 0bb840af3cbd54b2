package org.wigeonferry.routing.waiting;

import java.time.Duration;
import java.util.Optional;

/**
 * How fast the sends of this router to a service end, which is how fast its queue drains.
 *
 * <p>By Little's law, the mean time between two ends is the mean duration of a send divided by the
 * number of sends that run. Owned by the control thread.
 */
public final class DrainRate {
    private static final double NEW_DURATION_WEIGHT = 0.05;

    private Optional<Double> meanNanos = Optional.empty();
    private int running;

    /** Records that a send has started. */
    public void onStart() {
        running++;
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

    private void recordDuration(Duration duration) {
        double nanos = duration.toNanos();
        meanNanos =
                Optional.of(
                        meanNanos
                                .map(mean -> mean + NEW_DURATION_WEIGHT * (nanos - mean))
                                .orElse(nanos));
    }
}
