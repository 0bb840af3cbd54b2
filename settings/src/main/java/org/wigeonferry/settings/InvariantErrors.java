package org.wigeonferry.settings;

import java.util.function.Supplier;
import org.wigeonferry.core_types.ReleaseNoteException;

/**
 * Builds values of a release note.
 *
 * <p>Stateless and thread safe.
 */
final class InvariantErrors {
    private InvariantErrors() {}

    /** Turns a broken invariant of the value into an error that names the section. */
    static <T> T buildOrThrow(NoteSection section, Supplier<T> build) throws ReleaseNoteException {
        try {
            return build.get();
        } catch (IllegalArgumentException e) {
            throw section.newError(e.getMessage());
        }
    }
}
