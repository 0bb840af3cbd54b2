package org.wigeonferry.entry;

/**
 * How far a release note came.
 *
 * <p>Immutable and thread safe.
 */
enum CommitState {
    /** Committed, and more than half of the availability zones hold it. */
    ACCEPTED,
    /** Committed, but too few zones are known to hold it yet. */
    COMMITTED,
    /** Not committed: another change came first. */
    CONFLICT,
    /** Not committed: the note does not fit. */
    REJECTED,
    /** The store did not answer: the note may or may not be committed. */
    UNKNOWN,
    /** Checked only. */
    CHECKED
}
