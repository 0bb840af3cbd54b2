package org.wigeonferry.command_line;

import org.wigeonferry.core_types.StepException;

/**
 * One subcommand of the program.
 *
 * <p>Implementations are used by the main thread only.
 */
@FunctionalInterface
interface Command {
    /** Runs with the words behind the command's name; returns the exit code. */
    int run(String[] arguments) throws StepException;
}
