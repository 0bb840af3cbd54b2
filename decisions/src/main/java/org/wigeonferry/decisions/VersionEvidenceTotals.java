package org.wigeonferry.decisions;

import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.VersionId;

/**
 * Evidence on versions: this process's own, and what others last reported of theirs.
 *
 * <p>Reports are totals since their sender's start, so a lost or repeated one does no harm; a
 * sender is one life of a process, so a restart begins anew. Invariant: at most {@link
 * #MAX_SENDERS} senders are kept. Not thread safe; owned by the control thread.
 */
public final class VersionEvidenceTotals {
    /** Most senders whose reports are kept. */
    public static final int MAX_SENDERS = 1024;

    private final Map<VersionId, VersionEvidence> own = new HashMap<>();
    private final Map<NodeId, Map<VersionId, VersionEvidence>> others = new LruMap<>(MAX_SENDERS);

    /** Notes a whole answer. */
    public void onAnswer(VersionId version) {
        add(version, new VersionEvidence(1, 0, 0, 0));
    }

    /** Notes a failed attempt. */
    public void onError(VersionId version) {
        add(version, new VersionEvidence(0, 1, 0, 0));
    }

    /** Notes a rating. */
    public void onRating(VersionId version, double rating) {
        add(version, new VersionEvidence(0, 0, 1, rating));
    }

    /** Takes over another process's total. */
    public void onReport(NodeId sender, VersionId version, VersionEvidence total) {
        others.computeIfAbsent(sender, key -> new HashMap<>()).put(version, total);
    }

    /** This process's own total. */
    public VersionEvidence ownTotal(VersionId version) {
        return own.getOrDefault(version, VersionEvidence.NONE);
    }

    /** Total of all processes. */
    public VersionEvidence total(VersionId version) {
        return others.values().stream()
                .map(reports -> reports.getOrDefault(version, VersionEvidence.NONE))
                .reduce(ownTotal(version), VersionEvidence::plus);
    }

    private void add(VersionId version, VersionEvidence more) {
        own.merge(version, more, VersionEvidence::plus);
    }
}
