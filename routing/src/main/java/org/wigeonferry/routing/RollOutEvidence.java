package org.wigeonferry.routing;

/**
 * What answers say of a roll-out's new release and of the one before.
 *
 * <p>Immutable and thread safe.
 *
 * @param revision the order that it belongs to
 */
public record RollOutEvidence(long revision, ReleaseEvidence fresh, ReleaseEvidence old) {
    /** Adds counts of the same order. */
    public RollOutEvidence plus(RollOutEvidence other) {
        return other.revision == revision
                ? new RollOutEvidence(revision, fresh.plus(other.fresh), old.plus(other.old))
                : this;
    }
}
