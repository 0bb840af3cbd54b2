package org.wigeonferry.entry;

import java.util.List;
import java.util.Set;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ZoneId;

/**
 * Outcome of committing or checking a release note.
 *
 * <p>Immutable and thread safe.
 *
 * @param state whether the note was committed and accepted
 * @param revision revision of the note, or the one it would get if only checked; if it was not
 *     committed or that is unknown, the newest revision that this process has
 * @param detail explanation for the operator
 * @param zonesWithRevision availability zones with a process that is known to have the revision
 * @param nodesBehind processes whose last known revision is older
 */
record CommitResult(
        CommitState state,
        Revision revision,
        String detail,
        Set<ZoneId> zonesWithRevision,
        List<NodeId> nodesBehind) {
    static CommitResult of(CommitState state, Revision revision, String detail) {
        return new CommitResult(state, revision, detail, Set.of(), List.of());
    }
}
