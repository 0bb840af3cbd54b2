package org.wigeonferry.routing.waiting;

/**
 * Why a request may not wait.
 *
 * <p>Immutable and thread safe.
 */
public enum WaitRefusal {
    /** It would be sent too late to be answered in time. */
    WAIT_TOO_LONG,
    /** The queue is full. */
    QUEUE_FULL
}
