package org.wigeonferry.entry;

import java.util.List;
import java.util.Set;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.core_types.ZoneId;

/**
 * What became of a release note.
 *
 * <p>Immutable and thread safe.
 *
 * @param state how far the note came
 * @param revision revision that it led to, or the newest one for a conflict
 * @param detail what an operator can read
 * @param zonesWithRevision availability zones that are known to hold the revision
 * @param nodesBehind processes that are known not to hold it yet
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
