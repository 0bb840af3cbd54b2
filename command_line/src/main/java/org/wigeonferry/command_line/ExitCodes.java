package org.wigeonferry.command_line;

/**
 * Exit codes of the program.
 *
 * <p>Stateless and thread safe.
 */
final class ExitCodes {
    /** Done. */
    static final int OK = 0;

    /** The command ran, and its result is negative. */
    static final int FAILED = 1;

    /** The command line, the settings or the note are wrong. */
    static final int USAGE = 2;

    /** A peer did not answer: the outcome is unknown. */
    static final int UNKNOWN = 3;

    private ExitCodes() {}
}
