package org.wigeonferry.settings;

import org.wigeonferry.core_types.CatalogChange;
import org.wigeonferry.core_types.ReleaseNoteException;

/**
 * Parses one section of a release note into the catalog change that it describes.
 *
 * <p>Implementations are stateless lambdas and thread safe.
 */
@FunctionalInterface
interface SectionReader {
    CatalogChange read(NoteSection section) throws ReleaseNoteException;
}
