package org.wigeonferry.routing;

import java.util.Optional;

/**
 * Picks the model of a request.
 *
 * <p>Implementations are called on the control thread.
 */
@FunctionalInterface
public interface ModelChoice {
    /**
     * Picks a model; empty if the route leaves no choice.
     *
     * @param pressure estimated work that waits at the upstreams, in seconds of one upstream
     */
    Optional<String> choose(Job job, double pressure);
}
