package org.wigeonferry.command_line;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.wigeonferry.agent.AgentKeys;
import org.wigeonferry.core_types.Catalog;
import org.wigeonferry.core_types.ReleaseNoteException;
import org.wigeonferry.core_types.Revision;
import org.wigeonferry.entry.EntrySettingKeys;
import org.wigeonferry.settings.ReleaseNoteApplier;
import org.wigeonferry.settings.ReleaseNoteParser;
import org.wigeonferry.settings.SettingKey;
import org.wigeonferry.settings.SettingsException;
import org.wigeonferry.settings.SettingsReader;

class ExamplesTest {
    private static final Path EXAMPLES = Path.of("../examples");

    @Test
    void allSettingsAreValid() throws IOException, SettingsException {
        for (Path file : files()) {
            String name = file.getFileName().toString();
            if (name.startsWith("first-note")) {
                continue;
            }
            List<SettingKey<?>> keys =
                    name.startsWith("entry") ? EntrySettingKeys.all() : AgentKeys.all();
            SettingsReader.read(file, keys);
        }
    }

    @Test
    void firstNotesApply() throws IOException, ReleaseNoteException {
        for (Path file : files()) {
            if (!file.getFileName().toString().startsWith("first-note")) {
                continue;
            }
            Catalog catalog =
                    ReleaseNoteApplier.apply(
                            Catalog.EMPTY,
                            ReleaseNoteParser.parse(Files.readString(file)),
                            new Revision(1));
            assertThat(catalog.upstreams().size()).isGreaterThanOrEqualTo(11);
        }
    }

    private static List<Path> files() throws IOException {
        try (Stream<Path> files = Files.walk(EXAMPLES)) {
            return files.filter(file -> file.toString().endsWith(".ini")).toList();
        }
    }
}
