package org.wigeonferry.routing;

/**
 * Answer statistics of a roll-out's new release and of the old one.
 *
 * <p>Written to the log by {@code toString}, so the component names are part of its format.
 * Immutable and thread safe.
 *
 * @param revision revision of the roll-out order that the answers belong to
 * @param fresh statistics of the new release
 * @param old statistics of the old release
 */
public record RollOutEvidence(long revision, ReleaseEvidence fresh, ReleaseEvidence old) {
    /** Returns the same evidence for an order that has another revision now. */
    RollOutEvidence withRevision(long newRevision) {
        return new RollOutEvidence(newRevision, fresh, old);
    }

    /** Requests sent to both releases. */
    public long sends() {
        return fresh.sends() + old.sends();
    }

    /** Adds the counts of {@code other}, or nothing if they belong to another order. */
    public RollOutEvidence plus(RollOutEvidence other) {
        return other.revision == revision
                ? new RollOutEvidence(revision, fresh.plus(other.fresh), old.plus(other.old))
                : this;
    }
}
