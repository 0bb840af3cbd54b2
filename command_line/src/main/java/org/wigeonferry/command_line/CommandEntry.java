package org.wigeonferry.command_line;

/**
 * A subcommand and its place in the help.
 *
 * <p>Immutable and thread safe.
 *
 * @param name one or two words
 * @param usage arguments
 * @param summary one line of help
 * @param command what it does
 */
record CommandEntry(String name, String usage, String summary, Command command) {}
