package org.wigeonferry.routing;

/**
 * One process start of an upstream; a later start may use the same id.
 *
 * <p>Immutable and thread safe.
 *
 * @param startMillis start in milliseconds since 1970 by the upstream's clock
 */
public record Incarnation(String id, long startMillis) {}
