package org.wigeonferry.command_line;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.wigeonferry.core_types.StepException;
import org.wigeonferry.platform.ConfigCheck;
import org.wigeonferry.platform.ConfigFinding;
import org.wigeonferry.platform.FindingSeverity;

/**
 * Checks a routing configuration, and lists its differences from the one in force.
 *
 * <p>Stateless and thread safe.
 */
final class CheckConfigCommand {
    private static final String NAME = "check-config";
    private static final String IN_FORCE = "in-force";
    private static final String JSON = "json";

    private CheckConfigCommand() {}

    static Command run() {
        return arguments -> {
            CommandLine line = Arguments.parse(NAME, arguments, new String[] {IN_FORCE}, JSON);
            String text = read(Arguments.word(line, NAME, 0));
            String inForceFile = line.getOptionValue(IN_FORCE);
            Optional<String> inForce =
                    inForceFile == null ? Optional.empty() : Optional.of(read(inForceFile));
            List<ConfigFinding> findings = ConfigCheck.check(text, inForce);
            if (line.hasOption(JSON)) {
                System.out.println(FindingsJson.encode(findings));
            } else {
                findings.forEach(finding -> System.out.println(toLine(finding)));
            }
            boolean failed =
                    findings.stream()
                            .anyMatch(finding -> finding.severity() == FindingSeverity.ERROR);
            return failed ? ExitCodes.FAILED : ExitCodes.OK;
        };
    }

    private static String toLine(ConfigFinding finding) {
        return String.format(
                "%s %s: %s",
                finding.severity().name().toLowerCase(Locale.ROOT),
                finding.location(),
                finding.message());
    }

    private static String read(String file) throws StepException {
        try {
            return Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new StepException("read configuration", file, e);
        }
    }
}
