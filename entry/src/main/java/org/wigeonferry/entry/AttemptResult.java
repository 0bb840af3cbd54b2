package org.wigeonferry.entry;

/**
 * How an attempt ended: not run, finished, or unknown.
 *
 * <p>Immutable and thread safe.
 */
sealed interface AttemptResult permits AttemptFinished, AttemptRefused, AttemptFailed {}
