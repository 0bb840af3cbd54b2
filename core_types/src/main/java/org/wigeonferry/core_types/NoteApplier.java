package org.wigeonferry.core_types;

/**
 * Applies a committed release note to a catalog.
 *
 * <p>Implementations are pure: the same note on the same catalog gives the same result everywhere.
 */
@FunctionalInterface
public interface NoteApplier {
    /**
     * Returns the catalog after the release note, at the revision of its commit. A snapshot
     * replaces the content of {@code base}.
     *
     * @throws ReleaseNoteException if the text can't be parsed, refers to something that the
     *     catalog lacks, or sets an invalid value
     */
    Catalog apply(Catalog base, CommittedNote note) throws ReleaseNoteException;
}
