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
 * This process's copy of the configuration.
 *
 * <p>Invariants: the revision only rises; a note is applied only on the revision before its own, or
 * as a snapshot. Not thread safe; owned by the control thread.
 */
public final class ConfigReplica {
    private final NoteApplier applier;
    private final CatalogRenderer renderer;
    private final int logCapacity;
    private final Deque<CommittedNote> log = new ArrayDeque<>();
    private Catalog catalog = Catalog.EMPTY;

    /** Keeps at most {@code logCapacity} notes for peers that are behind. */
    public ConfigReplica(NoteApplier applier, CatalogRenderer renderer, int logCapacity) {
        this.applier = applier;
        this.renderer = renderer;
        this.logCapacity = logCapacity;
    }

    /** The newest catalog. */
    public Catalog catalog() {
        return catalog;
    }

    /** Applies a note if it is the next one, or a newer snapshot; tells whether it was. */
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
        if (log.size() > logCapacity) {
            log.removeFirst();
        }
        return true;
    }

    /** Notes that lead from a revision to this one; one snapshot if the log no longer does. */
    public List<CommittedNote> notesSince(Revision revision) {
        if (!revision.isBefore(catalog.revision())) {
            return List.of();
        }
        boolean covered = !log.isEmpty() && !revision.next().isBefore(log.getFirst().revision());
        if (!covered) {
            return List.of(new CommittedNote(catalog.revision(), renderer.render(catalog), true));
        }
        return log.stream().filter(note -> revision.isBefore(note.revision())).toList();
    }
}
