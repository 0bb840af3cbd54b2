package org.wigeonferry.routing;

/**
 * How a send ended.
 *
 * <p>Immutable and thread safe.
 */
public enum SendOutcome {
    /** Nothing was written to a connection. */
    NOT_SENT(true, false),
    /** The upstream reported that it did not run the request. */
    NOT_RUN(true, false),
    /** The address now belongs to another upstream than the one addressed. */
    MISDIRECTED(true, false),
    /** A complete answer that doesn't count as a failure of the upstream. */
    ANSWERED(false, false),
    /** A complete answer that counts as a failure of the upstream. */
    FAILED(false, true),
    /** The connection was lost, or the bytes were no answer to this request. */
    BROKEN(false, true),
    /** The answer, or the next event of a stream, did not come in time. */
    SILENT(false, true),
    /** Dropped because the model reported too little confidence in its answer. */
    DOUBTED(false, false),
    /** Cancelled because another send of the request was answered first. */
    SUPERSEDED(false, false),
    /**
     * A connection that had served other requests ended, or a late response to one of them came,
     * before the response. It says nothing about the upstream.
     */
    LOST_ON_REUSE(false, false),
    /** Cancelled for a reason other than the upstream, such as a caller that disconnected. */
    ABANDONED(false, false);

    private final boolean provedNotRun;
    private final boolean failure;

    SendOutcome(boolean provedNotRun, boolean failure) {
        this.provedNotRun = provedNotRun;
        this.failure = failure;
    }

    /** Whether it is certain that the request did not run. */
    public boolean provedNotRun() {
        return provedNotRun;
    }

    /** Whether a complete answer arrived, successful or not. */
    public boolean isCompleteAnswer() {
        return this == ANSWERED || this == FAILED;
    }

    /** Whether the send counts as a failure of the upstream. */
    public boolean isFailure() {
        return failure;
    }
}
