package org.wigeonferry.routing;

import java.util.Optional;

/**
 * The model of one send, and when its answer is taken.
 *
 * <p>Immutable and thread safe.
 *
 * @param model empty if the service has no models
 * @param minConfidence least confidence with which the answer is delivered; 0 takes any
 */
public record ModelSelection(Optional<String> model, int minConfidence) {}
