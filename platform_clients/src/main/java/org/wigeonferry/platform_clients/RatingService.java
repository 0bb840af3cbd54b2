package org.wigeonferry.platform_clients;

import java.util.OptionalDouble;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's service that rates answers.
 *
 * <p>Implementations are thread safe and never block the caller.
 */
@FunctionalInterface
public interface RatingService {
    /** Rates an answer from 0 to 1; empty if the service gave no rating in time. */
    CompletableFuture<OptionalDouble> rate(String requestClass, String prompt, String answer);
}
