package org.wigeonferry.stand_ins;

/**
 * A task that waits for its virtual time.
 *
 * <p>Immutable and thread safe.
 *
 * @param atNanos when it runs
 * @param number order among tasks of the same time
 * @param task what it does
 */
record VirtualTask(long atNanos, long number, Runnable task) {}
