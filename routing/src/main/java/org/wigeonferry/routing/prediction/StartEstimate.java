package org.wigeonferry.routing.prediction;

import java.time.Duration;
import java.util.Optional;
import org.wigeonferry.routing.Job;

/**
 * Estimates how soon a job could get the first byte of its response.
 *
 * <p>Called on the control thread.
 */
@FunctionalInterface
public interface StartEstimate {
    /**
     * The shortest predicted time over the upstreams that the job may use now; empty if it may use
     * none, or no response of its service has been seen.
     */
    Optional<Duration> timeToFirstByte(Job job, long nowNanos);
}
