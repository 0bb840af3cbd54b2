package org.wigeonferry.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Reads and validates settings files.
 *
 * <p>Reports all errors of a file in one pass. Stateless and thread safe.
 */
public final class SettingsReader {
    private SettingsReader() {}

    /** Reads a file; {@code keys} are all keys that it may have. */
    public static Settings read(Path file, List<SettingKey<?>> keys) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of("can't be read: " + e));
        }
        return parse(file.toString(), text, keys);
    }

    /** Parses the text of a settings file; the file's path is only used in error messages. */
    public static Settings parse(String file, String text, List<SettingKey<?>> keys)
            throws SettingsException {
        Ini ini;
        try {
            ini = IniParser.parse(text);
        } catch (IOException e) {
            throw new SettingsException(file, List.of("not an INI file: " + e.getMessage()));
        }
        List<String> errors = new ArrayList<>(unknownKeyErrors(ini, keys));
        errors.addAll(IniParser.duplicateErrors(ini));
        Map<String, String> values = new HashMap<>();
        keys.forEach(key -> validateAndCollect(ini, key, values, errors));
        if (!errors.isEmpty()) {
            throw new SettingsException(file, errors);
        }
        return new Settings(values);
    }

    private static List<String> unknownKeyErrors(Ini ini, List<SettingKey<?>> keys) {
        List<String> knownNames = keys.stream().map(SettingKey::fullName).toList();
        List<String> errors = new ArrayList<>();
        for (Profile.Section section : ini.values()) {
            section.keySet().stream()
                    .map(name -> section.getName() + "." + name)
                    .filter(name -> !knownNames.contains(name))
                    .forEach(name -> errors.add("unknown key " + name));
        }
        return errors;
    }

    private static void validateAndCollect(
            Ini ini, SettingKey<?> key, Map<String, String> values, List<String> errors) {
        Optional<String> text =
                Optional.ofNullable(ini.get(key.section(), key.name())).or(key::defaultText);
        if (text.isEmpty()) {
            errors.add("missing key " + key.fullName() + ", expected " + key.valueFormat());
            return;
        }
        try {
            key.parser().parse(text.get());
            values.put(key.fullName(), text.get());
        } catch (IllegalArgumentException e) {
            errors.add(
                    "bad value of "
                            + key.fullName()
                            + ": "
                            + text.get()
                            + ", expected "
                            + key.valueFormat());
        }
    }
}
