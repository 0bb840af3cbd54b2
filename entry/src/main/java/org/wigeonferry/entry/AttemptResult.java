package org.wigeonferry.entry;

/**
 * Outcome of an attempt: refused before it ran, finished, or failed, so that it may have run.
 *
 * <p>Immutable and thread safe.
 */
sealed interface AttemptResult permits AttemptFinished, AttemptRefused, AttemptFailed {}
