package org.wigeonferry.decisions;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CatalogRenderer;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.NoteApplier;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;

/**
 * This process's copy of the catalog, built by applying committed release notes in the order of
 * their revisions.
 *
 * <p>Invariants: the revision only rises; a release note is applied only to the revision directly
 * before its own, unless it is a snapshot, which replaces any older revision. Not thread safe;
 * owned by the control thread.
 */
public final class ConfigReplica {
    private final NoteApplier applier;
    private final CatalogRenderer renderer;
    private final int maxLoggedNotes;
    private final Deque<CommittedNote> log = new ArrayDeque<>();
    private Catalog catalog = Catalog.EMPTY;

    /** Keeps the last {@code maxLoggedNotes} release notes for peers at an older revision. */
    public ConfigReplica(NoteApplier applier, CatalogRenderer renderer, int maxLoggedNotes) {
        this.applier = applier;
        this.renderer = renderer;
        this.maxLoggedNotes = maxLoggedNotes;
    }

    /** Returns the catalog at the newest revision that was applied. */
    public Catalog catalog() {
        return catalog;
    }

    /** Applies a release note if it is the next one or a newer snapshot; returns whether it did. */
    public boolean tryApply(CommittedNote note) throws ReleaseNoteException {
        boolean next = note.revision().equals(catalog.revision().next());
        boolean newerSnapshot = note.snapshot() && catalog.revision().isBefore(note.revision());
        if (!newerSnapshot && (note.snapshot() || !next)) {
            return false;
        }
        catalog = applier.apply(catalog, note);
        if (note.snapshot()) {
            log.clear();
            return true;
        }
        log.addLast(note);
        if (log.size() > maxLoggedNotes) {
            log.removeFirst();
        }
        return true;
    }

    /**
     * Returns the release notes after the given revision, or a single snapshot if the log doesn't
     * reach back that far.
     */
    public List<CommittedNote> notesSince(Revision revision) {
        if (!revision.isBefore(catalog.revision())) {
            return List.of();
        }
        boolean logReachesRevision =
                !log.isEmpty() && !revision.next().isBefore(log.getFirst().revision());
        if (!logReachesRevision) {
            return List.of(new CommittedNote(catalog.revision(), renderer.render(catalog), true));
        }
        return log.stream().filter(note -> revision.isBefore(note.revision())).toList();
    }
}
