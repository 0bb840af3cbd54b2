package org.wigeonferry.command_line;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Parses the options that commands share.
 *
 * <p>Stateless and thread safe.
 */
final class Arguments {
    private Arguments() {}

    /** Parses options; each of {@code withValue} takes a value, each of {@code flags} none. */
    static CommandLine parse(
            String command, String[] arguments, String[] withValue, String... flags)
            throws UsageException {
        Options options = new Options();
        for (String name : withValue) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        for (String name : flags) {
            options.addOption(Option.builder().longOpt(name).get());
        }
        try {
            return new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            throw new UsageException(command, e.getMessage());
        }
    }

    /** The value of an option that must be there. */
    static String required(CommandLine line, String command, String name) throws UsageException {
        String value = line.getOptionValue(name);
        if (value == null) {
            throw new UsageException(command, "missing --" + name);
        }
        return value;
    }

    /** The word at a position that must be there. */
    static String word(CommandLine line, String command, int position) throws UsageException {
        if (line.getArgList().size() <= position) {
            throw new UsageException(command, "missing argument " + (position + 1));
        }
        return line.getArgList().get(position);
    }
}
