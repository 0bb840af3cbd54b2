package org.wigeonferry.router;

/**
 * What a call does after one of its sends has ended.
 *
 * <p>Immutable and thread safe.
 */
enum NextStep {
    /** Nothing: the send was superseded, another one is open, or the call has ended. */
    NONE,
    /** Respond to the caller with what the send brought; the call has ended. */
    RESPOND,
    /** Send the request again, or refuse it. */
    RESEND
}
