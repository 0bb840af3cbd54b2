package org.wigeonferry.command_line;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

class SettingsPageTest {
    private static final Path PAGE = Path.of("../docs/SETTINGS.md");

    @Test
    void pageIsCurrent() throws IOException {
        assertThat(Files.readString(PAGE)).isEqualTo(SettingsPage.page());
    }
}
