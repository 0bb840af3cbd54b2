package org.wigeonferry.core_types;

/**
 * Thrown if a release note can't be parsed or can't be applied to the configuration.
 *
 * <p>Immutable and thread safe.
 */
public final class ReleaseNoteException extends StepException {
    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception for a faulty section of the release note.
     *
     * @param section header of the faulty section, without brackets
     * @param message what is wrong in that section
     */
    public ReleaseNoteException(String section, String message) {
        super("read or apply release note", "section [" + section + "]", message);
    }
}
