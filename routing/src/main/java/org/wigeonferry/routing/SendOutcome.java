package org.wigeonferry.routing;

/**
 * How a send ended.
 *
 * <p>Immutable and thread safe.
 */
public enum SendOutcome {
    /** Nothing was written to a connection. */
    NOT_SENT(true, false),
    /** The upstream says that it did not run the request. */
    NOT_RUN(true, false),
    /** Another upstream has the address. */
    MISDIRECTED(true, false),
    /** A whole answer that isn't a failure. */
    ANSWERED(false, false),
    /** A whole answer that is a failure of the upstream. */
    FAILED(false, true),
    /** The connection broke, or the bytes were no answer to this request. */
    BROKEN(false, true),
    /** No answer, or no further event, in time. */
    SILENT(false, true),
    /** Dropped because the model doubts its answer. */
    DOUBTED(false, false),
    /** Given up for a reason that isn't the upstream's. */
    ABANDONED(false, false);

    private final boolean provedNotRun;
    private final boolean bad;

    SendOutcome(boolean provedNotRun, boolean bad) {
        this.provedNotRun = provedNotRun;
        this.bad = bad;
    }

    /** Whether the request surely did not run. */
    public boolean provedNotRun() {
        return provedNotRun;
    }

    /** Whether the upstream lived to the end of its answer. */
    public boolean isCompleteAnswer() {
        return this == ANSWERED || this == FAILED;
    }

    /** Whether it speaks against the upstream. */
    public boolean isFailure() {
        return bad;
    }
}
