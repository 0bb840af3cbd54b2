package org.wigeonferry.entry;

/**
 * The attempt may have run, in whole or in part.
 *
 * <p>Immutable and thread safe.
 *
 * @param detail the step that failed, where and why; or the exception if sending failed
 * @param upstreamCrashed whether the upstream crashed during the attempt
 * @param poison whether the request is a poison request, known to crash upstreams
 * @param answerBytesAtCrash bytes of the answer produced when the upstream crashed; 0 without a
 *     crash
 */
record AttemptFailed(
        String detail, boolean upstreamCrashed, boolean poison, long answerBytesAtCrash)
        implements AttemptResult {}
