package org.wigeonferry.routing;

/**
 * One start of an upstream; an id may be used again by a later start.
 *
 * <p>Immutable and thread safe.
 *
 * @param startMillis start in milliseconds since 1970 by the upstream's clock
 */
public record Incarnation(String id, long startMillis) {}
