package org.wigeonferry.command_line;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.platform_clients.JsonResponse;

/**
 * Commands that speak to the administration API.
 *
 * <p>Stateless and thread safe.
 */
final class AdminCommands {
    private static final String[] WITH_VALUE = {"admin", "key", "after"};
    private static final String JSON = "json";
    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private AdminCommands() {}

    static Command show(String path) {
        return arguments -> {
            CommandLine line = Arguments.parse(path, arguments, WITH_VALUE, JSON);
            try (AdminClient client = client(path, line)) {
                String after = line.getOptionValue("after");
                return print(line, client.show(after == null ? path : path + "?after=" + after));
            }
        };
    }

    static Command note(boolean dryRun) {
        String name = dryRun ? "note check" : "note apply";
        return arguments -> {
            CommandLine line = Arguments.parse(name, arguments, WITH_VALUE, JSON);
            return post(name, line, read(Arguments.word(line, name, 0)), dryRun);
        };
    }

    static Command zone(String state) {
        String name = "zone " + state;
        return arguments -> {
            CommandLine line = Arguments.parse(name, arguments, WITH_VALUE, JSON);
            String zone = Arguments.word(line, name, 0);
            return post(name, line, note(name, "[zone " + zone + "]\nstate = " + state), false);
        };
    }

    static Command drain() {
        return arguments -> {
            CommandLine line = Arguments.parse("drain", arguments, WITH_VALUE, JSON);
            String upstream = Arguments.word(line, "drain", 0);
            return post("drain", line, note("drain", "[drain " + upstream + "]"), false);
        };
    }

    /** A release note of one section. */
    static String note(String reason, String section) {
        String head = "[note]\noperation = " + UUID.randomUUID() + "\nauthor = ";
        return head
                + System.getProperty("user.name")
                + "\nreason = "
                + reason
                + "\n"
                + section
                + "\n";
    }

    private static int post(String name, CommandLine line, String text, boolean dryRun)
            throws StepException {
        try (AdminClient client = client(name, line)) {
            return print(line, client.postNote(text, dryRun));
        }
    }

    private static AdminClient client(String name, CommandLine line) throws StepException {
        HostAddress address;
        try {
            address = HostAddress.parse(Arguments.required(line, name, "admin"));
        } catch (IllegalArgumentException e) {
            throw new UsageException(name, e.getMessage());
        }
        return new AdminClient(address, Arguments.required(line, name, "key"));
    }

    private static int print(CommandLine line, JsonResponse reply) {
        System.out.println(
                line.hasOption(JSON)
                        ? reply.body().toString()
                        : AdminClient.readable(reply.body()).strip());
        if (reply.status() == UNAVAILABLE) {
            return ExitCodes.UNKNOWN;
        }
        return reply.status() == OK ? ExitCodes.OK : ExitCodes.FAILED;
    }

    private static String read(String file) throws UsageException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new UsageException("note", "can't read " + file + ": " + e);
        }
    }
}
