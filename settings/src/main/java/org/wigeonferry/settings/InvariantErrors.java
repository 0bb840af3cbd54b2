package org.wigeonferry.settings;

import java.util.function.Supplier;
import org.wigeonferry.core_types.ReleaseNoteException;

/**
 * Converts exceptions of builders to errors of the release note section that set the fields.
 *
 * <p>Stateless and thread safe.
 */
final class InvariantErrors {
    private InvariantErrors() {}

    /**
     * Returns the result of {@code builder}.
     *
     * @throws ReleaseNoteException with the section, if {@code builder} throws {@link
     *     IllegalArgumentException} because a field is invalid
     */
    static <T> T buildOrThrow(NoteSection section, Supplier<T> builder)
            throws ReleaseNoteException {
        try {
            return builder.get();
        } catch (IllegalArgumentException e) {
            throw section.newError(e.getMessage());
        }
    }
}
