package org.wigeonferry.routing.waiting;

/**
 * A waiting request that has to leave the queue.
 *
 * <p>Immutable and thread safe.
 */
public record Eviction(WaitingRequest request, WaitRefusal cause) {}
