package org.wigeonferry.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Reads INI texts the same way for settings and release notes.
 *
 * <p>Stateless and thread safe.
 */
final class IniParser {
    private IniParser() {}

    static Ini parse(String text) throws IOException {
        Config config = new Config();
        config.setEscape(false);
        config.setMultiSection(true);
        config.setMultiOption(true);
        config.setEmptyOption(true);
        config.setLowerCaseOption(false);
        Ini ini = new Ini();
        ini.setConfig(config);
        ini.load(new StringReader(text));
        return ini;
    }

    /** Lists sections and keys that stand more than once. */
    static List<String> duplicateErrors(Ini ini) {
        List<String> errors = new ArrayList<>();
        for (String name : ini.keySet()) {
            if (ini.length(name) > 1) {
                errors.add("section [" + name + "] stands more than once");
            }
            Profile.Section section = ini.get(name);
            section.keySet().stream()
                    .filter(key -> section.length(key) > 1)
                    .forEach(key -> errors.add("key " + name + "." + key + " stands twice"));
        }
        return errors;
    }
}
