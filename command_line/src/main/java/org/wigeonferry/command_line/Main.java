package org.wigeonferry.command_line;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.settings.SettingsException;

/**
 * The {@code wigeonferry} program.
 *
 * <p>Stateless; runs on the main thread.
 */
public final class Main {
    private Main() {}

    /** Runs a subcommand and exits with its code. */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    static int run(String[] arguments) {
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            help();
            return arguments.length == 0 ? ExitCodes.USAGE : ExitCodes.OK;
        }
        Optional<CommandEntry> entry = find(arguments);
        if (entry.isEmpty()) {
            System.err.println("unknown command " + arguments[0] + "; see wigeonferry --help");
            return ExitCodes.USAGE;
        }
        int words = entry.get().name().split(" ").length;
        String[] rest = Arrays.copyOfRange(arguments, words, arguments.length);
        if (List.of(rest).contains("--help")) {
            System.out.println("wigeonferry " + entry.get().name() + " " + entry.get().usage());
            System.out.println(entry.get().summary());
            return ExitCodes.OK;
        }
        return run(entry.get(), rest);
    }

    private static int run(CommandEntry entry, String[] rest) {
        try {
            return entry.command().run(rest);
        } catch (SettingsException | UsageException e) {
            System.err.println(e.getMessage());
            return ExitCodes.USAGE;
        } catch (StepException e) {
            System.err.println(e.getMessage());
            return ExitCodes.UNKNOWN;
        }
    }

    private static Optional<CommandEntry> find(String[] arguments) {
        String line = String.join(" ", arguments) + " ";
        return Commands.all().stream()
                .filter(entry -> line.startsWith(entry.name() + " "))
                .findFirst();
    }

    private static void help() {
        System.out.println("usage: wigeonferry COMMAND [OPTIONS]; COMMAND --help tells more");
        Commands.all()
                .forEach(entry -> System.out.printf("  %-18s %s%n", entry.name(), entry.summary()));
        System.out.println("exit codes: 0 done, 1 negative result, 2 usage, 3 outcome unknown");
    }
}
