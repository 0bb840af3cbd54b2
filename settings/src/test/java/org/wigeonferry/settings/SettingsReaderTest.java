package org.wigeonferry.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

class SettingsReaderTest {
    private static final SettingKey<Duration> PAUSE_KEY =
            SettingKeyFactory.millisKey("a", "pause-ms", 1, 100, 10, "Pause between two polls.");
    private static final SettingKey<String> NAME_KEY =
            SettingKeyFactory.textKey("a", "name", "Name of the process.");
    private static final List<SettingKey<?>> KEYS = List.of(PAUSE_KEY, NAME_KEY);

    @Test
    void absentKeyTakesItsDefault() throws SettingsException {
        Settings settings = SettingsReader.parse("f", "[a]\nname = x\n", KEYS);
        assertThat(settings.value(PAUSE_KEY)).isEqualTo(Duration.ofMillis(10));
        assertThat(settings.value(NAME_KEY)).isEqualTo("x");
    }

    @Test
    void allErrorsAreFoundInOnePass() {
        assertThatThrownBy(
                        () ->
                                SettingsReader.parse(
                                        "f.ini", "[a]\npause-ms = 1000\nnmae = x\n", KEYS))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("f.ini")
                .hasMessageContaining("unknown key a.nmae")
                .hasMessageContaining("bad value of a.pause-ms: 1000, expected milliseconds")
                .hasMessageContaining("missing key a.name");
    }

    @Test
    void errorNamesTheMissingFile() {
        assertThatThrownBy(() -> SettingsReader.read(Path.of("none.ini"), KEYS))
                .hasMessageContaining("none.ini");
    }

    @Test
    void textThatIsNotIniIsRefused() {
        assertThatThrownBy(() -> SettingsReader.parse("f", "no section\n", KEYS))
                .isInstanceOf(SettingsException.class);
    }

    @Test
    void repeatedKeyIsRefused() {
        assertThatThrownBy(() -> SettingsReader.parse("f", "[a]\nname = x\nname = y\n", KEYS))
                .hasMessageContaining("key a.name occurs more than once");
    }
}
