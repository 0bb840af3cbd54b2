package org.wigeonferry.decisions;

import java.util.HashMap;
import java.util.Map;
import org.wigeonferry.core_types.NodeId;
import org.wigeonferry.core_types.VersionId;

/**
 * Totals of answers, errors and ratings per version: those of this process, and the last totals
 * reported by other processes.
 *
 * <p>A report carries totals since the start of its sender, so a lost or repeated report does no
 * harm. A sender is one incarnation of a process (its NodeId includes the incarnation), so a
 * restarted process counts as a new sender. Invariant: at most {@link #MAX_SENDERS} senders are
 * kept. Not thread safe; owned by the control thread.
 */
public final class VersionEvidenceTotals {
    /**
     * Maximum number of senders whose reports are kept; the one that reported longest ago is
     * dropped.
     */
    public static final int MAX_SENDERS = 1024;

    private final Map<VersionId, VersionEvidence> ownTotals = new HashMap<>();
    private final Map<NodeId, Map<VersionId, VersionEvidence>> totalsBySender =
            new LruMap<>(MAX_SENDERS);

    /** Counts a complete answer. */
    public void onAnswer(VersionId version) {
        add(version, new VersionEvidence(1, 0, 0, 0));
    }

    /** Counts a failed attempt. */
    public void onError(VersionId version) {
        add(version, new VersionEvidence(0, 1, 0, 0));
    }

    /** Counts an answer's rating, between 0 and 1. */
    public void onRating(VersionId version, double rating) {
        add(version, new VersionEvidence(0, 0, 1, rating));
    }

    /** Stores a total that a sender reported, in place of the one it reported before. */
    public void onReport(NodeId sender, VersionId version, VersionEvidence total) {
        totalsBySender.computeIfAbsent(sender, key -> new HashMap<>()).put(version, total);
    }

    /** Total of this process alone. */
    public VersionEvidence ownTotal(VersionId version) {
        return ownTotals.getOrDefault(version, VersionEvidence.NONE);
    }

    /** Total of this process and of all senders that are kept. */
    public VersionEvidence total(VersionId version) {
        return totalsBySender.values().stream()
                .map(reports -> reports.getOrDefault(version, VersionEvidence.NONE))
                .reduce(ownTotal(version), VersionEvidence::plus);
    }

    private void add(VersionId version, VersionEvidence increment) {
        ownTotals.merge(version, increment, VersionEvidence::plus);
    }
}
