package org.wigeonferry.routing;

import java.util.Optional;

/**
 * The model that a send asks for, and the confidence that its answer needs.
 *
 * <p>Immutable and thread safe.
 *
 * @param model empty if the service has no models
 * @param minConfidence lowest confidence, from 0 to 100, with which the answer is delivered; 0
 *     delivers any answer
 */
public record ModelSelection(Optional<String> model, int minConfidence) {}
