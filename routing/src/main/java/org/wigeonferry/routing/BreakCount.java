package org.wigeonferry.routing;

/**
 * How often a content broke upstreams in a row.
 *
 * <p>Immutable and thread safe.
 */
record BreakCount(int count, long lastNanos) {}
