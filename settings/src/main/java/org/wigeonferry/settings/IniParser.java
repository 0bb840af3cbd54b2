package org.wigeonferry.settings;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Parses INI texts with the syntax that settings files and release notes share.
 *
 * <p>Stateless and thread safe.
 */
final class IniParser {
    private IniParser() {}

    static Ini parse(String text) throws IOException {
        Config config = new Config();
        // Backslashes are ordinary characters.
        config.setEscape(false);
        // Keeps repeated sections and keys, so that duplicateErrors finds them.
        config.setMultiSection(true);
        config.setMultiOption(true);
        config.setEmptyOption(true);
        config.setLowerCaseOption(false);
        Ini ini = new Ini();
        ini.setConfig(config);
        ini.load(new StringReader(text));
        return ini;
    }

    /** Returns one error text for each section or key that occurs more than once. */
    static List<String> duplicateErrors(Ini ini) {
        List<String> errors = new ArrayList<>();
        for (String name : ini.keySet()) {
            if (ini.length(name) > 1) {
                errors.add("section [" + name + "] occurs more than once");
            }
            Profile.Section section = ini.get(name);
            section.keySet().stream()
                    .filter(key -> section.length(key) > 1)
                    .forEach(
                            key ->
                                    errors.add(
                                            "key " + name + "." + key + " occurs more than once"));
        }
        return errors;
    }
}
