package org.wigeonferry.settings;

import org.wigeonferry.core_types.Change;
import org.wigeonferry.core_types.ReleaseNoteException;

/**
 * Reads the change that one section of a release note asks for.
 *
 * <p>Implementations are stateless lambdas and thread safe.
 */
@FunctionalInterface
interface SectionReader {
    Change read(NoteSection section) throws ReleaseNoteException;
}
