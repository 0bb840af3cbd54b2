package org.wigeonferry.core_types;

/**
 * A release note that can't be read or doesn't fit the configuration.
 *
 * <p>Immutable and thread safe.
 */
public final class ReleaseNoteException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Names the section of the note and what is wrong there. */
    public ReleaseNoteException(String section, String message) {
        super("read release note", "section [" + section + "]", message);
    }
}
