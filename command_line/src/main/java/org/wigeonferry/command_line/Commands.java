package org.wigeonferry.command_line;

import java.util.List;
import java.util.stream.Stream;

/**
 * Lists the subcommands.
 *
 * <p>Stateless and thread safe.
 */
final class Commands {
    private static final String ADMIN = "--admin HOST:PORT --key KEY [--json]";

    private Commands() {}

    static List<CommandEntry> all() {
        return Stream.of(daemons(), settings(), changes(), views(), demo())
                .flatMap(List::stream)
                .toList();
    }

    private static List<CommandEntry> daemons() {
        return List.of(
                new CommandEntry(
                        "entry", "--config FILE", "Runs an entry.", DaemonCommands.entry()),
                new CommandEntry(
                        "agent", "--config FILE", "Runs an agent.", DaemonCommands.agent()),
                new CommandEntry(
                        "router",
                        "--config FILE",
                        "Runs a router on the platform.",
                        DaemonCommands.router()),
                new CommandEntry(
                        "warm-up",
                        "",
                        "Runs a router before stand-ins, once; for the build.",
                        WarmUpCommand.run()),
                new CommandEntry(
                        "stand-in",
                        "engine|desk|table --config FILE",
                        "Runs a stand-in for tests.",
                        DaemonCommands.standIn()));
    }

    private static List<CommandEntry> settings() {
        return List.of(
                new CommandEntry(
                        "config check",
                        "entry|agent|router|stand-in FILE",
                        "Checks a settings file.",
                        ConfigCommands.check()),
                new CommandEntry(
                        "check-config",
                        "FILE [--in-force FILE] [--json]",
                        "Checks a routing configuration before it is put in force.",
                        CheckConfigCommand.run()),
                new CommandEntry(
                        "config keys",
                        "entry|agent|router|stand-in",
                        "Lists the keys of a settings file.",
                        ConfigCommands.keys()),
                new CommandEntry(
                        "config page",
                        "",
                        "Writes docs/SETTINGS.md to standard output.",
                        arguments -> {
                            System.out.print(SettingsPage.page());
                            return ExitCodes.OK;
                        }),
                new CommandEntry(
                        "key new",
                        "ACCOUNT",
                        "Makes an API key and its digest.",
                        ConfigCommands.newKey()));
    }

    private static List<CommandEntry> changes() {
        return List.of(
                new CommandEntry(
                        "note check",
                        "FILE " + ADMIN,
                        "Checks a release note without committing it.",
                        AdminCommands.note(true)),
                new CommandEntry(
                        "note apply",
                        "FILE " + ADMIN,
                        "Commits a release note and waits until it is accepted.",
                        AdminCommands.note(false)),
                new CommandEntry(
                        "zone out",
                        "ZONE " + ADMIN,
                        "Takes an availability zone out.",
                        AdminCommands.zone("out")),
                new CommandEntry(
                        "zone in",
                        "ZONE " + ADMIN,
                        "Brings an availability zone back.",
                        AdminCommands.zone("in")),
                new CommandEntry(
                        "drain",
                        "UPSTREAM " + ADMIN,
                        "Gives an upstream no new work.",
                        AdminCommands.drain()));
    }

    private static List<CommandEntry> views() {
        return List.of(
                show("status", "Shows the state of an entry."),
                show("versions", "Shows the versions."),
                show("upstreams", "Shows the upstreams."),
                show("bills", "Shows bills."),
                show("notes", "Shows committed release notes: who, when and why."),
                show("starts", "Shows calls that may not be repeated, unknown outcomes too."),
                new CommandEntry(
                        "explain",
                        "ID LOG...",
                        "Tells from routers' logs why a request ended as it did.",
                        ExplainCommand.run()));
    }

    private static List<CommandEntry> demo() {
        return List.of(
                new CommandEntry(
                        "demo",
                        "[--seconds N]",
                        "Runs a deployment under load.",
                        DemoCommand.run()));
    }

    private static CommandEntry show(String name, String summary) {
        return new CommandEntry(name, ADMIN, summary, AdminCommands.show(name));
    }
}
