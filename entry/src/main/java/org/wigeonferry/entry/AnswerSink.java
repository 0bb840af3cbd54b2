package org.wigeonferry.entry;

/**
 * Where the bytes of an answer go, and how far they came.
 *
 * <p>Implementations are used by one attempt at a time.
 */
interface AnswerSink extends ByteListener {
    /** Number of bytes taken so far; a further attempt resumes here. */
    long offset();

    /** Tells whether the caller went away. */
    boolean callerDisconnected();
}
