package org.wigeonferry.settings;

import org.wigeonferry.core_types.CatalogChange;
import org.wigeonferry.core_types.ReleaseNoteException;

/**
 * Reads the change that one section of a release note asks for.
 *
 * <p>Implementations are stateless lambdas and thread safe.
 */
@FunctionalInterface
interface SectionReader {
    CatalogChange read(NoteSection section) throws ReleaseNoteException;
}
