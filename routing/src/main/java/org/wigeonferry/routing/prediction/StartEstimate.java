package org.wigeonferry.routing.prediction;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.routing.Job;

/**
 * Predicts how soon a job would be answered if it were sent now.
 *
 * <p>Called on the control thread.
 */
@FunctionalInterface
public interface StartEstimate {
    /**
     * The shortest predicted time to the first byte over the upstreams that the job may use now;
     * empty if nothing is known.
     */
    Optional<Duration> timeToFirstByte(Job job, long nowNanos);
}
