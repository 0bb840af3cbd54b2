package org.wigeonferry.command_line;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against scripts that put a configuration in force though it was found wrong. */
class CheckConfigCommandTest {
    @TempDir private Path directory;

    private String file(String name, String text) throws Exception {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private static int run(String... arguments) {
        return Main.run(arguments);
    }

    @Test
    void exitCodeTellsErrors() throws Exception {
        String sound = file("sound", "{\"version\":1}");
        String newer = file("newer", "{\"version\":2}");
        String odd = file("odd", "{\"version\":\"x\"}");
        String warning = file("warning", "{\"version\":1,\"limits\":{\"max_body_bytes\":0}}");
        assertThat(run("check-config", sound)).isEqualTo(ExitCodes.OK);
        assertThat(run("check-config", warning, "--json")).isEqualTo(ExitCodes.OK);
        assertThat(run("check-config", odd)).isEqualTo(ExitCodes.FAILED);
        assertThat(run("check-config", newer, "--in-force", sound)).isEqualTo(ExitCodes.OK);
        assertThat(run("check-config", sound, "--in-force", newer)).isEqualTo(ExitCodes.FAILED);
        assertThat(run("check-config")).isEqualTo(ExitCodes.USAGE);
        assertThat(run("check-config", directory.resolve("none").toString()))
                .isEqualTo(ExitCodes.UNKNOWN);
    }
}
