package org.wigeonferry.core_types;

/**
 * Applies a committed release note to a catalog.
 *
 * <p>Implementations are pure: the same note on the same catalog gives the same result everywhere.
 */
@FunctionalInterface
public interface NoteApplier {
    /**
     * Returns the catalog of the note's revision.
     *
     * @throws ReleaseNoteException if the note does not fit the catalog
     */
    Catalog apply(Catalog base, CommittedNote note) throws ReleaseNoteException;
}
