package org.wigeonferry.routing;

/**
 * A part of a prompt that requests may share.
 *
 * <p>Immutable and thread safe.
 */
public record PromptPart(String id, int tokens) {}
