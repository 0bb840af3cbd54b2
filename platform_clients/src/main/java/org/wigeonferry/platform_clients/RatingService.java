package org.wigeonferry.platform_clients;

import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's service that rates the quality of model answers.
 *
 * <p>Implementations are thread safe and never block the caller.
 */
@FunctionalInterface
public interface RatingService {
    /**
     * Rates an answer to a prompt, from 0 (worst) to 1 (best).
     *
     * @return the rating; empty, rather than failed, if the service gave none in time
     */
    CompletableFuture<OptionalDouble> rate(String requestClass, String prompt, String answer);
}
