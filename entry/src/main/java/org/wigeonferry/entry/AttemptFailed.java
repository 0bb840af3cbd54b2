package org.wigeonferry.entry;

/**
 * The attempt may have run, in whole or in part.
 *
 * <p>Immutable and thread safe.
 *
 * @param detail step, peer and cause
 * @param upstreamCrashed whether the upstream was lost with the attempt in flight
 * @param poison whether the request is known to be the cause of such a loss
 * @param answerBytesAtCrash bytes of the answer that had come at the loss
 */
record AttemptFailed(
        String detail, boolean upstreamCrashed, boolean poison, long answerBytesAtCrash)
        implements AttemptResult {}
