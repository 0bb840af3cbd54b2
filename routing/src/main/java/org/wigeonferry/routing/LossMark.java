package org.wigeonferry.routing;

/**
 * The last connection loss at an incarnation of an upstream.
 *
 * <p>Immutable and thread safe.
 *
 * @param number number of crashes of the incarnation before this one
 * @param lastNanos time of the loss
 */
record LossMark(int number, long lastNanos) {}
