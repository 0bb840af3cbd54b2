package org.wigeonferry.entry;

/**
 * State of a release note after a request to commit or check it.
 *
 * <p>Immutable and thread safe.
 */
enum CommitState {
    /** Committed, and known to have reached more than half of the availability zones. */
    ACCEPTED,
    /** Committed, but not yet known to have reached more than half of the availability zones. */
    COMMITTED,
    /** Not committed: the configuration, or the row of the extra condition, had changed. */
    CONFLICT,
    /** Not committed: the note is malformed or invalid for the current configuration. */
    REJECTED,
    /**
     * The table service did not answer or all tries failed: the note may or may not be committed.
     */
    UNKNOWN,
    /** Dry run: the note is valid and was not committed. */
    CHECKED
}
