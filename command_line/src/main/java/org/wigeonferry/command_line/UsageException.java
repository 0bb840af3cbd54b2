package org.wigeonferry.command_line;

import org.wigeonferry.core_types.StepException;

/**
 * A command line that can't be understood.
 *
 * <p>Immutable and thread safe.
 */
final class UsageException extends StepException {
    private static final long serialVersionUID = 1L;

    UsageException(String command, String message) {
        super("read command line", command, message);
    }
}
