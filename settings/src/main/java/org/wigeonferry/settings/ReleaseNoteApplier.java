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

    /** Parses and applies a committed release note; a snapshot replaces {@code base}. */
    public static Catalog applyCommitted(Catalog base, CommittedNote note)
            throws ReleaseNoteException {
        Catalog start = note.snapshot() ? Catalog.EMPTY : base;
        return apply(start, ReleaseNoteParser.parse(note.text()), note.revision());
    }

    /**
     * Returns the catalog that results from applying the changes of a release note in their order.
     *
     * @throws ReleaseNoteException if a change can't be applied; {@code base} never changes
     */
    public static Catalog apply(Catalog base, ReleaseNote note, Revision revision)
            throws ReleaseNoteException {
        CatalogDraft draft = new CatalogDraft(base);
        for (CatalogChange change : note.changes()) {
            change.applyTo(draft);
        }
        return draft.toCatalog(revision);
    }
}
