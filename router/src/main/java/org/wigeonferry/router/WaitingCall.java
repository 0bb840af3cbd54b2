package org.wigeonferry.router;

/**
 * A call that waits for room at an upstream.
 *
 * <p>Immutable; its actions are run on the control thread.
 *
 * @param placeAgain routes the call's job again
 * @param cancelTimer cancels the timer of its latest start
 */
record WaitingCall(Runnable placeAgain, long sinceNanos, Runnable cancelTimer) {}
