package org.wigeonferry.entry;

/**
 * Destination of the bytes of an answer, with the number of bytes accepted so far.
 *
 * <p>Implementations are used by one attempt at a time.
 */
interface AnswerSink extends ByteListener {
    /** Number of bytes accepted so far; a further attempt resumes at this offset. */
    long offset();

    /** Whether the caller has disconnected. */
    boolean callerDisconnected();
}
