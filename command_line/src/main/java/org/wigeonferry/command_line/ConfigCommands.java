package org.wigeonferry.command_line;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.cli.CommandLine;
import org.wigeonferry.agent.AgentKeys;
import org.wigeonferry.core_types.AccountId;
import org.wigeonferry.entry.EntrySettingKeys;
import org.wigeonferry.node_runtime.Secrets;
import org.wigeonferry.platform.RouterSettingKeys;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingsReader;
import org.wigeonferry.stand_ins.StandInKeys;

/**
 * Commands about settings and keys; they need no running process.
 *
 * <p>Stateless and thread safe.
 */
final class ConfigCommands {
    private static final int SECRET_BYTES = 24;
    private static final int SALT_BYTES = 8;
    private static final String[] NONE = {};

    private ConfigCommands() {}

    static Map<String, List<SettingKey<?>>> keysByRole() {
        return new TreeMap<>(
                Map.of(
                        "entry", EntrySettingKeys.all(),
                        "agent", AgentKeys.all(),
                        "router", RouterSettingKeys.all(),
                        "stand-in", StandInKeys.all()));
    }

    static Command check() {
        return arguments -> {
            CommandLine line = Arguments.parse("config check", arguments, NONE);
            List<SettingKey<?>> keys = keys("config check", line);
            SettingsReader.read(Path.of(Arguments.word(line, "config check", 1)), keys);
            System.out.println("settings are valid");
            return ExitCodes.OK;
        };
    }

    static Command keys() {
        return arguments -> {
            CommandLine line = Arguments.parse("config keys", arguments, NONE);
            System.out.print(SettingsPage.table(keys("config keys", line)));
            return ExitCodes.OK;
        };
    }

    static Command newKey() {
        return arguments -> {
            CommandLine line = Arguments.parse("key new", arguments, NONE);
            AccountId account = new AccountId(Arguments.word(line, "key new", 0));
            String key = account + "." + random(SECRET_BYTES);
            String salt = random(SALT_BYTES);
            System.out.println("key = " + key);
            System.out.println("digest = " + salt + ":" + Secrets.saltedDigest(salt, key));
            return ExitCodes.OK;
        };
    }

    private static List<SettingKey<?>> keys(String command, CommandLine line)
            throws UsageException {
        String role = Arguments.word(line, command, 0);
        List<SettingKey<?>> keys = keysByRole().get(role);
        if (keys == null) {
            throw new UsageException(command, "expected one of " + keysByRole().keySet());
        }
        return keys;
    }

    private static String random(int bytes) {
        byte[] random = new byte[bytes];
        new SecureRandom().nextBytes(random);
        return HexFormat.of().formatHex(random);
    }
}
