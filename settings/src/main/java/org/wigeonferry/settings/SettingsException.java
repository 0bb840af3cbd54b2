package org.wigeonferry.settings;

import java.util.List;
import org.wigeonferry.core_types.StepException;

/**
 * Thrown if a settings file can't be read or is invalid; its message lists every error found.
 *
 * <p>Immutable and thread safe.
 */
public final class SettingsException extends StepException {
    private static final long serialVersionUID = 1L;

    /** Creates a failure with all errors of a file. */
    public SettingsException(String file, List<String> errors) {
        super("read settings", file, String.join("; ", errors));
    }
}
