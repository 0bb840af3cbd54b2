package org.wigeonferry.settings;

import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.CatalogChange;
import org.wigeonferry.core_types.CatalogDraft;
import org.wigeonferry.core_types.CommittedNote;
import org.wigeonferry.core_types.ReleaseNote;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;

/**
 * Applies release notes to catalogs.
 *
 * <p>Stateless and thread safe.
 */
public final class ReleaseNoteApplier {
    private ReleaseNoteApplier() {}

    /** Applies a committed note; a snapshot starts from the empty catalog. */
    public static Catalog applyCommitted(Catalog base, CommittedNote note)
            throws ReleaseNoteException {
        Catalog start = note.snapshot() ? Catalog.EMPTY : base;
        return apply(start, ReleaseNoteParser.parse(note.text()), note.revision());
    }

    /** Applies all changes of a note in their order, or none. */
    public static Catalog apply(Catalog base, ReleaseNote note, Revision revision)
            throws ReleaseNoteException {
        CatalogDraft draft = new CatalogDraft(base);
        for (CatalogChange change : note.changes()) {
            change.applyTo(draft);
        }
        return draft.toCatalog(revision);
    }
}
